package members

import (
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if say := os.Getenv(childEnv); say != "" {
		runChild(say)
		return
	}
	goleak.VerifyTestMain(m)
}
