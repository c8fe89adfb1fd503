package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is the time in which a heartbeat is acknowledged.
	heartbeatTimeout = time.Second
)

// Call is a call that a server makes while it runs a request.
type Call struct {
	Host, Path string
	Deadline   time.Duration
}

// Run is one run of a request on a server.
type Run struct {
	ID         string
	Start, End time.Time // End is zero without a whole answer
}

// Server is a backend server.
type Server struct {
	ID      string
	Node    *Node
	Slots   int
	Work    time.Duration // mean work of a request
	Body    int           // bytes of an answer
	Calls   []Call        // made by each run of a request under Calling
	Calling string        // prefix of the requests that make calls
	// Fault, if not nil, may answer in the place of the server. It returns false
	// if it does not.
	Fault func(conn net.Conn, r *http.Request) bool

	record   *Record
	born     int64
	sequence atomic.Int64
	mu       sync.Mutex
	runs     []Run
	client   *Client
}

// Serve serves requests and sends heartbeats until ctx is done.
func (s *Server) Serve(ctx context.Context, r *Record) error {
	s.record, s.born = r, time.Now().UnixMilli()
	s.client = NewClient(s.Node.CallerAddress(), r)
	ln, err := net.Listen("tcp4", s.Node.ServerAddress())
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		ln.Close() //nolint:errcheck // the server ends
	}()
	go s.accept(ln)
	go s.beat(ctx)
	return nil
}

func (s *Server) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

// serveConn serves one request at a time.
func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the connection is discarded
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !s.answer(conn, req) {
			return
		}
	}
}

func (s *Server) answer(conn net.Conn, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	switch {
	case req.URL.Path == "/healthz":
		return write(conn, http.StatusOK, "Instance-Id: "+s.ID+"\r\n", nil)
	case req.Header.Get("Expect-Instance") != "" && req.Header.Get("Expect-Instance") != s.ID:
		return write(conn, http.StatusMisdirectedRequest, "Request-Id: "+id+"\r\nInstance-Id: "+s.ID+"\r\n", nil)
	}
	run := Run{ID: id, Start: time.Now()}
	s.record.Printf("server %s runs %s", s.ID, id)
	if s.Fault != nil && s.Fault(conn, req) {
		s.record.Printf("server %s has answered %s with bytes without end", s.ID, id)
		s.addRun(run)
		return false
	}
	status := s.work(id, req)
	run.End = time.Now()
	s.addRun(run)
	s.record.Printf("server %s has run %s: %d", s.ID, id, status)
	fields := fmt.Sprintf("Request-Id: %s\r\nServer-Seal: %s\r\n", id, Seal(s.ID, status, id))
	return write(conn, status, fields, AnswerBody(id, s.Body))
}

// work takes the time of a request and makes its calls.
func (s *Server) work(id string, req *http.Request) int {
	time.Sleep(time.Duration(float64(s.Work) * (0.5 + rand.Float64())))
	if s.Calling == "" || !strings.HasPrefix(req.URL.Path, s.Calling) {
		return http.StatusOK
	}
	var failed atomic.Bool
	var all sync.WaitGroup
	for i, c := range s.Calls {
		all.Go(func() {
			a := s.client.Do(&Attempt{ID: fmt.Sprintf("%s.%d", id, i), Method: http.MethodGet, Host: c.Host, Path: c.Path, Deadline: c.Deadline})
			if a.Status != http.StatusOK {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	if failed.Load() {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

func (s *Server) addRun(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// Runs returns the runs so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Seal returns the signature of an answer.
func Seal(server string, status int, id string) string {
	return fmt.Sprintf("%s.%d.%s", server, status, id)
}

// AnswerBody returns the body of the answer to a request.
func AnswerBody(id string, size int) []byte {
	return bytes.Repeat([]byte(id+"\n"), size/(len(id)+1)+1)
}

func write(conn net.Conn, status int, fields string, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status), fields, len(body))
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

// beat sends heartbeats to the node beside the server.
func (s *Server) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		s.heartbeat()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heartbeat sends a heartbeat.
func (s *Server) heartbeat() {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`,
		s.Node.Service, s.Node.ServerAddress(), s.Node.Zone, s.Slots, s.sequence.Add(1), s.born)
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+s.Node.HeartbeatAddress()+"/instances/"+s.ID, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := heartbeatClient.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close() //nolint:errcheck // the body is not used
}

var heartbeatClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
