package clientlab

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"
)

// memoryInterval is the time between two looks at a process's memory.
const memoryInterval = 10 * time.Millisecond

// memoryWatch records the most anonymous memory that a process had: what a platform that counts memory holds against
// it, without the pages of its program.
type memoryWatch struct {
	pid     int
	stop    chan struct{}
	stopped chan struct{}
	most    int // KiB
}

func watchMemory(pid int) *memoryWatch {
	w := &memoryWatch{pid: pid, stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

func (w *memoryWatch) run() {
	defer close(w.stopped)
	for {
		w.most = max(w.most, anonymousKB(w.pid))
		select {
		case <-w.stop:
			return
		case <-time.After(memoryInterval):
		}
	}
}

// mostMB ends the watch and returns its result in MB.
func (w *memoryWatch) mostMB() float64 {
	close(w.stop)
	<-w.stopped
	return float64(w.most) / 1024
}

var anonymous = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

func anonymousKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := anonymous.FindSubmatch(text)
	if m == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return kb
}
