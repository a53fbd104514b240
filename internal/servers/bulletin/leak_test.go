package bulletin

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a goroutine outlives the tests, as it would if a connection were not closed completely.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
