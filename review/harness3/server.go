package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// crashTime is the time from a crash of a server until it is back.
	crashTime = 3 * time.Second
)

// server is a stand-in for an application server. The query of a request says what its run
// takes: "ms" is the time of its work, "size" the size of its answer.
type server struct {
	id       string
	service  string
	zone     string
	slots    int
	node     *node
	world    *world
	born     int64
	sequence atomic.Int64
	running  atomic.Int64
	// answer, if set, may answer a request that has run in place of the usual answer.
	answer func(req *http.Request) (status int, ok bool)
	// crashes, if set, tells whether a request crashes the server that begins to run it.
	crashes func(id, path string) bool
	// state is what heartbeats say: "ready", "draining" or "" for none.
	state atomic.Value

	mu     sync.Mutex
	starts int // number of starts
	conns  map[net.Conn]struct{}
	ln     net.Listener
}

func (s *server) start() error {
	ln, err := net.Listen("tcp4", s.node.ip+":8301")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.conns = ln, make(map[net.Conn]struct{})
	s.starts++
	s.id, s.born = fmt.Sprintf("i-%s-%d", s.node.ip, s.starts), time.Now().UnixMilli()
	s.mu.Unlock()
	s.sequence.Store(0)
	s.state.Store("ready")
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	if s.starts == 1 {
		go s.beat()
	}
	return nil
}

// crash ends the server without a word. It starts again after crashTime.
func (s *server) crash() {
	s.state.Store("")
	s.mu.Lock()
	s.ln.Close() //nolint:errcheck // it is not used again
	for conn := range s.conns {
		conn.Close() //nolint:errcheck // it is not used again
	}
	s.mu.Unlock()
	s.world.record.note("server %s crashes", s.id)
	time.AfterFunc(crashTime, func() {
		if err := s.start(); err != nil {
			s.world.record.note("server of %s cannot start: %v", s.node.ip, err)
			return
		}
		s.world.record.note("server %s has started", s.id)
	})
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		conn.Close() //nolint:errcheck // the connection is discarded
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !s.handle(conn, r, req) {
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (s *server) handle(conn net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	echo := "Request-Id: " + id + "\r\n"
	if req.URL.Path == "/healthz" {
		status := http.StatusOK
		if s.state.Load() != "ready" {
			status = http.StatusServiceUnavailable
		}
		return reply(conn, status, "Instance-Id: "+s.id+"\r\n", "")
	}
	if instance := req.Header.Get("Expect-Instance"); instance != "" && instance != s.id {
		return reply(conn, http.StatusMisdirectedRequest, echo+"Instance-Id: "+s.id+"\r\n", "")
	}
	if s.running.Add(1) > int64(s.slots) {
		s.running.Add(-1)
		return reply(conn, http.StatusServiceUnavailable, echo+"Not-Executed: 1\r\n", "")
	}
	defer s.running.Add(-1)
	run := s.world.record.begin(id, s.id, req.Method+" "+req.URL.Path)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.crashes != nil && s.crashes(id, req.URL.Path) {
		s.crash()
		return false
	}
	closed := make(chan error, 1)
	go func() {
		_, err := r.Peek(1)
		if err != nil {
			cancel()
		}
		closed <- err
	}()
	deadline, _ := strconv.Atoi(req.Header.Get("Deadline-Ms")) //nolint:errcheck // 0 has passed
	due, end := context.WithTimeout(ctx, time.Duration(deadline)*time.Millisecond)
	defer end()
	status := work(due, req)
	if ctx.Err() != nil {
		s.world.record.end(run, 0)
		return false
	}
	if s.answer != nil {
		if other, ok := s.answer(req); ok {
			status = other
		}
	}
	s.world.record.end(run, status)
	body := answerBody(id)
	if size, err := strconv.Atoi(req.URL.Query().Get("size")); err == nil {
		body = strings.Repeat("x", size)
	}
	return reply(conn, status, echo+"Server-Seal: "+s.id+"."+id+"\r\n", body) && <-closed == nil
}

// work takes the time of a request, or that until its deadline.
func work(ctx context.Context, req *http.Request) int {
	ms, _ := strconv.Atoi(req.URL.Query().Get("ms")) //nolint:errcheck // 0 takes no time
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return http.StatusOK
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	}
}

func answerBody(id string) string { return strings.Repeat(id+"\n", 20) }

func reply(conn net.Conn, status int, fields, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(body), body)
	return err == nil
}

// beat sends heartbeats until the process ends.
func (s *server) beat() {
	for {
		if state := s.state.Load().(string); state != "" {
			s.notify(http.MethodPut, state)
		}
		time.Sleep(heartbeatInterval)
	}
}

// notify reports the state of the server, or its end, to the node and returns whether that
// acknowledged it.
func (s *server) notify(method, state string) bool {
	body := ""
	if method == http.MethodPut {
		body = fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d}`,
			s.service, s.node.ip+":8301", s.zone, s.slots, state, s.sequence.Add(1), s.born)
	}
	return s.post(method, body)
}

// put sends a heartbeat with the given body to the node, and reports whether that
// acknowledged it.
func (s *server) put(body string) bool { return s.post(http.MethodPut, body) }

func (s *server) post(method, body string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.node.ip+":8306/instances/"+s.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close() //nolint:errcheck // the body is not used
	return resp.StatusCode == http.StatusOK
}

var heartbeatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
