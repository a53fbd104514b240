package chainlab

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of processor time in /proc/PID/stat: USER_HZ is 100 in all Linux builds for this
// architecture.
const clockTick = 10 * time.Millisecond

// processorTime returns the processor time that a process has used, user and system together.
func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // from the process state on
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
	return time.Duration(sum) * clockTick, nil
}

// work is the work that processes have done since their start.
type work struct {
	processor     time.Duration // processor time of the existing threads, in nanosecond resolution
	wakeUps       int64         // voluntary context switches: a thread waited and was woken up
	reads, writes int64         // system calls that read and write
}

func (w work) addScaled(v work, times int64) work {
	return work{w.processor + time.Duration(times)*v.processor, w.wakeUps + times*v.wakeUps, w.reads + times*v.reads, w.writes + times*v.writes}
}

// readWork returns a process's work as the sum over its threads. That is complete because the Go runtime
// ends no thread.
func readWork(pid int) (w work, err error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", pid))
	if err != nil {
		return w, err
	}
	for _, t := range threads {
		var ran int64
		text, err := os.ReadFile(t + "/schedstat")
		if err == nil {
			_, err = fmt.Sscan(string(text), &ran)
		}
		if err != nil {
			return w, err
		}
		switches, err := readNumber(t+"/status", "voluntary_ctxt_switches:")
		if err != nil {
			return w, err
		}
		w.processor, w.wakeUps = w.processor+time.Duration(ran), w.wakeUps+switches
	}
	io := fmt.Sprintf("/proc/%d/io", pid)
	if w.reads, err = readNumber(io, "syscr:"); err == nil {
		w.writes, err = readNumber(io, "syscw:")
	}
	return w, err
}

// readNumber returns the number after the given word at the start of a line.
func readNumber(path, word string) (int64, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, word); ok {
			return strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("%s has no %s", path, word)
}

// residentBytes returns a process's resident memory in bytes.
func residentBytes(pid int) (int64, error) {
	kb, err := readNumber(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:")
	return kb << 10, err
}

// countDescriptors returns the number of descriptors that a process has open.
func countDescriptors(pid int) (int, error) {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list), err
}

// closeInheritedOnExec prevents agents from inheriting the descriptors with which this process was
// started, because agents' descriptors are counted. Descriptors that Go opens are not inherited anyway.
func closeInheritedOnExec() error {
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
