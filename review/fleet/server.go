package fleet

import (
	"bufio"
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

// heartbeatInterval is heartbeat_ms of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// Run is a request that a server runs.
type Run struct {
	ID       string
	Target   string // path and query
	Started  time.Time
	Deadline time.Duration // as the node states it
	Left     <-chan struct{}
}

// Work runs a request and returns the body of the answer.
type Work func(r *Run) []byte

// Server is a stand-in for a backend server. It runs a request with work, and ends it
// when its deadline has passed or its connection is closed.
type Server struct {
	ID    string
	node  *Node
	slots int
	work  Work
	born  time.Time

	sequence atomic.Int64
	draining atomic.Bool
	gone     atomic.Bool
	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// StartServer starts the server beside a node, and its heartbeats.
func (n *Node) StartServer(id string, slots int, work Work) (*Server, error) {
	ln, err := net.Listen("tcp4", n.address(8301))
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, node: n, slots: slots, work: work, born: time.Now(), ln: ln, conns: make(map[net.Conn]struct{})}
	go s.accept()
	go s.beat()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		go func() {
			s.serve(conn)
			conn.Close() //nolint:errcheck // the connection is discarded
		}()
	}
}

// End ends the server with all that it runs.
func (s *Server) End() {
	s.gone.Store(true)
	s.ln.Close() //nolint:errcheck // the server ends
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close() //nolint:errcheck // the server ends
	}
}

func (s *Server) beat() {
	for !s.gone.Load() {
		s.Heartbeat()
		time.Sleep(heartbeatInterval)
	}
}

// Drain makes the server report that it is draining from now on. It returns the time of
// the acknowledgement, and false if there was none.
func (s *Server) Drain() (time.Time, bool) {
	s.draining.Store(true)
	ok := s.Heartbeat()
	return time.Now(), ok
}

// Heartbeat sends a heartbeat and reports whether it was acknowledged.
func (s *Server) Heartbeat() bool {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	return s.notify(http.MethodPut, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_left_ms":0,"seq":%d,"born":%d}`,
		s.node.service, s.node.address(8301), s.node.zone, s.slots, state, s.sequence.Add(1), s.born.UnixMilli()))
}

// Deregister takes the server off its node.
func (s *Server) Deregister() bool { return s.notify(http.MethodDelete, "") }

// notify calls the node and reports whether the call was acknowledged within a second.
func (s *Server) notify(method, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+s.node.address(8306)+"/instances/"+s.ID, strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(req)
	if err != nil {
		return false
	}
	defer answer.Body.Close() //nolint:errcheck // it has been read
	_, err = io.Copy(io.Discard, answer.Body)
	return err == nil && answer.StatusCode/100 == 2
}

// serve serves the requests of a connection one after the other.
func (s *Server) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || !s.handle(conn, r, req) {
			return
		}
	}
}

func (s *Server) handle(conn net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	if req.URL.Path == "/healthz" {
		status := http.StatusOK
		if s.draining.Load() {
			status = http.StatusServiceUnavailable
		}
		return answer(conn, status, "Instance-Id: "+s.ID+"\r\n", nil)
	}
	echo := "Request-Id: " + id + "\r\n"
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
		return answer(conn, http.StatusMisdirectedRequest, echo+"Instance-Id: "+s.ID+"\r\n", nil)
	}
	deadline := time.Duration(number(req.Header.Get("Deadline-Ms"))) * time.Millisecond
	left, watched := make(chan struct{}), make(chan error, 1)
	run := &Run{ID: id, Target: req.RequestURI, Started: time.Now(), Deadline: deadline, Left: left}
	s.node.d.record.Printf("server %s runs %s %s %s, Deadline-Ms %d", s.ID, id, req.Method, req.RequestURI, deadline.Milliseconds())
	go func() {
		_, err := r.Peek(1)
		if err != nil {
			close(left)
		}
		watched <- err
	}()
	done := make(chan []byte, 1)
	go func() { done <- s.work(run) }()
	status := http.StatusOK
	var body []byte
	select {
	case body = <-done:
	case <-time.After(deadline):
		status = http.StatusGatewayTimeout
	case <-left:
		s.node.d.record.Printf("server %s drops %s, its connection is closed", s.ID, id)
		return false
	}
	s.node.d.record.Printf("server %s answers %s with %d", s.ID, id, status)
	seal := fmt.Sprintf("Server-Seal: %s.%s.%d\r\n", s.ID, id, status)
	return answer(conn, status, echo+seal, body) && <-watched == nil
}

func answer(conn net.Conn, status int, fields string, body []byte) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n" + fields +
		"Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}
