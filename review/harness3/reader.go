package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	gracePeriod = 6 * time.Second
	lossSlack   = 200 * time.Millisecond
	// requestDelay is the time from SIGTERM to the requests. A node that is asked once a
	// second has not missed two questions by then.
	requestDelay = 900 * time.Millisecond
	// answerSize and readRate make an answer take 5.6 s, with a deadline of 6 s.
	answerSize    = 28 << 20
	readRate      = 5 << 20 // bytes a second
	readSize      = 32 << 10
	receiveBuffer = 64 << 10
	readerCount   = 2
)

// playReader stops a node while clients read large answers slowly.
func playReader(record *recorder, folder string, trouble bool) error {
	routes := []route{{prefix: "/proof/", kind: "download", service: "proofs", timeout: 6 * time.Second, priority: 2}}
	w, err := newWorld(record, folder, routes, machine{"catalogue", "a", 64}, machine{"proofs", "a", 64},
		machine{"proofs", "b", 64}, machine{"catalogue", "b", 64})
	if err != nil {
		return err
	}
	defer w.close()
	time.Sleep(stableTime)
	stopped, signal := w.nodes[0], time.Now()
	var stop sync.WaitGroup
	if trouble {
		record.note("SIGTERM for %s", stopped.ip)
		stop.Go(func() {
			_, killed := stopped.stop(gracePeriod)
			record.note("%s has ended, killed: %t", stopped.ip, killed)
		})
	}
	time.Sleep(requestDelay)
	var clients sync.WaitGroup
	for range readerCount {
		clients.Go(func() {
			conn, err := dialSlowly(stopped.callers())
			if err != nil {
				record.note("cannot connect: %v", err)
				return
			}
			path := fmt.Sprintf("/proof/x?ms=50&size=%d", answerSize)
			w.sendOn(context.Background(), &slowConn{Conn: conn}, stopped, request{id: w.newID(), method: http.MethodGet, path: path, deadline: 6 * time.Second})
		})
	}
	clients.Wait()
	stop.Wait()
	return judgeStop(w, stopped.ip, signal)
}

// stableTime is the time without disruptions before the stop.
const stableTime = 4 * time.Second

// dialSlowly connects with a small receive buffer.
func dialSlowly(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return failure
	}}
	return d.Dial("tcp4", address)
}

// slowConn is read at readRate.
type slowConn struct {
	net.Conn
	begun time.Time
	count int
}

// Read reads a part when it is due.
func (c *slowConn) Read(p []byte) (int, error) {
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
	time.Sleep(time.Until(c.begun.Add(time.Duration(float64(c.count) / readRate * float64(time.Second)))))
	n, err := c.Conn.Read(p[:min(len(p), readSize)])
	c.count += n
	return n, err
}

// judgeStop applies the rule LOST to the requests that a stopped node took.
func judgeStop(w *world, ip string, signal time.Time) error {
	lost := 0
	for _, q := range w.record.all() {
		if q.node != ip || q.sent.Before(signal) || q.status != 0 || q.isGone || q.ended.After(signal.Add(gracePeriod+time.Second)) {
			continue
		}
		runs := w.record.runsOf(q.id)
		if len(runs) == 0 && q.ended.Sub(q.sent) <= lossSlack || isExcused(runs, &q, signal) {
			continue
		}
		lost++
		w.record.note("LOST: %s, sent %.3f s after SIGTERM, ended after %.3f s without a whole answer, runs %d: %v",
			q.id, q.sent.Sub(signal).Seconds(), q.ended.Sub(signal).Seconds(), len(runs), q.err)
	}
	w.record.note("lost: %d", lost)
	if lost > 0 {
		return fmt.Errorf("%w: LOST, %d requests", errBroken, lost)
	}
	return nil
}

// isExcused reports whether a server was still at work in the last sixth of the grace
// period on a request that was sent no later than 3 s after SIGTERM.
func isExcused(runs []run, q *request, signal time.Time) bool {
	if q.sent.Sub(signal) > 3*time.Second {
		return false
	}
	for _, v := range runs {
		if v.ended.IsZero() || v.ended.After(signal.Add(gracePeriod-gracePeriod/6)) {
			return true
		}
	}
	return false
}
