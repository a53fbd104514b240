package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// Figures of the case of the bad clients.
const (
	rudeHold     = 3 * time.Second
	rudeBefore   = 2 * time.Second
	rudeLasts    = 15 * time.Second
	rudeClients  = 50
	rudeAtOnce   = 300 // releases in one write
	rudeInterval = 50 * time.Millisecond
	memoryLimit  = memoryMB << 10 // in kB
	memoryEvery  = 50 * time.Millisecond
)

// playRude has bad clients release calls whose ids no setup server knows, at full speed, beside a usual one, and checks
// that the agent keeps to its memory.
func playRude(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error) {
	d := emulator.Campus()
	d.Hold = rudeHold
	var servers []*setupServer
	for i, name := range []string{"s-1", "s-2"} {
		s, err := newSetupServer(name, i, rudeHold, record)
		if err != nil {
			return false, err
		}
		cleanup.add(s.stop)
		servers = append(servers, s)
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	a := &agentProcess{name: "n1", listen: listen, deployment: d, servers: len(servers), record: record}
	cleanup.add(a.kill)
	if err := startWithList(a, record, servers, cleanup); err != nil {
		return false, err
	}
	g := newGateway("east", "127.0.0.21", listen, record)
	g.class, g.tenant = d.Classes[0].Name, d.Tenants[0].Name
	cleanup.add(g.stop)
	g.run(rudeInterval)
	if err := awaitReady([]*gateway{g}); err != nil {
		return false, err
	}
	time.Sleep(rudeBefore)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	if trouble {
		for i := range rudeClients {
			clients.Go(func() { beRude(i, listen, record, stop) })
		}
	}
	kept, err = watchMemory(a, record, rudeLasts)
	close(stop)
	clients.Wait()
	return kept, err
}

// beRude is one bad client. It sends releases at full speed, reads whatever it is sent, and connects again if its
// connection is closed.
func beRude(no int, listen string, record *recorder, stop chan struct{}) {
	sent := 0
	defer func() { record.add("bad client %d: %d releases sent", no, sent) }()
	for {
		select {
		case <-stop:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		go io.Copy(io.Discard, conn)
		sent += sendReleases(conn, no, sent, stop)
		conn.Close()
	}
}

// sendReleases sends releases of calls that nobody placed until the connection ends, and returns how many were sent.
func sendReleases(conn net.Conn, no, from int, stop chan struct{}) (sent int) {
	for {
		select {
		case <-stop:
			return sent
		default:
		}
		var b []byte
		for i := range rudeAtOnce {
			id := isup.CallID(uint64(no+1)<<40 | uint64(from+sent+i+1))
			b, _ = isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal).Append(b)
		}
		conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write(b); err != nil {
			return sent
		}
		sent += rudeAtOnce
	}
}

// watchMemory reads the process's memory until it is over the limit or the time is over.
func watchMemory(a *agentProcess, record *recorder, limit time.Duration) (kept bool, err error) {
	peak := 0
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(memoryEvery) {
		kB, err := ownMemory(a.cmd.Process.Pid)
		if err != nil {
			record.say("the process has ended by itself")
			return false, nil
		}
		record.add("agent %s: %d kB", a.name, kB)
		peak = max(peak, kB)
		if kB > memoryLimit {
			record.say("the agent holds %d MB of its own, over its limit of %d MB: the platform kills it", kB>>10, memoryMB)
			return false, nil
		}
	}
	record.say("the agent held %d MB of its own at most, of %d MB", peak>>10, memoryMB)
	return true, nil
}

// ownMemory returns the resident memory of a process in kB, without the pages of its files.
func ownMemory(pid int) (kB int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			return strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
		}
	}
	return 0, errors.New("no figure of the process's memory")
}
