package chainlab

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// tick is the unit of processor time in /proc/PID/stat (USER_HZ, 100 on all of Linux's builds for
// this architecture).
const tick = 10 * time.Millisecond

// processorTime is what a process has had of processors, user and system.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // from the state on
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat: %q", pid, text)
	}
	sum := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return time.Duration(sum) * tick, nil
}

// resident is a process's resident memory in bytes.
func resident(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmRSS", pid)
}

// descriptors is how many a process has open.
func descriptors(pid int) (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list), err
}

// keepOwn has no agent inherit the descriptors that this process was itself started with: an
// agent's are counted. What Go opens is not inherited.
func keepOwn() error {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return err
	}
	for _, e := range list {
		if fd, err := strconv.Atoi(e.Name()); err == nil && fd > 2 {
			syscall.CloseOnExec(fd)
		}
	}
	return nil
}
