package connmgr

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine outlives the tests: closing ends all connections' goroutines.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
