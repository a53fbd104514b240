package connmgr

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain: no goroutine outlives the tests: what is closed ends with all its connections.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
