package lab

import (
	"fmt"
	"os"

	"woodrouter/internal/faultnet"
)

// BuildAndRun builds the program, stores its path in *bin for a package's tests and runs the tests. m is
// the *testing.M. The result is the exit code for os.Exit.
func BuildAndRun(m interface{ Run() int }, bin *string) int {
	dir, err := os.MkdirTemp("", "lab")
	if err == nil {
		*bin, err = faultnet.Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	return m.Run()
}
