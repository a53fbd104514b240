package members

import (
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if config := os.Getenv(childEnv); config != "" {
		runChild(config)
		return
	}
	goleak.VerifyTestMain(m)
}
