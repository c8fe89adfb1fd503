package fleet

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request is a request of a client.
type Request struct {
	Method, Target string
	Deadline       time.Duration
	Body           []byte
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Sent   time.Time
	Ended  time.Time
	Status int // 0 without an answer
	Seal   string
	Err    error
}

// Sealed reports whether the answer is that of a server.
func (a *Answer) Sealed() bool { return a.Seal != "" }

var requests atomic.Int64

// Send sends a request of a client of the machine, on a new connection, and waits for its
// answer. The client leaves at its deadline.
func (n *Node) Send(q Request) *Answer {
	a := &Answer{ID: fmt.Sprintf("%08x", requests.Add(1)), Sent: time.Now()}
	n.d.record.Printf("client of %s sends %s %s %s, Deadline-Ms %d", n.Name(), a.ID, q.Method, q.Target, q.Deadline.Milliseconds())
	a.Err = n.exchange(q, a)
	a.Ended = time.Now()
	n.d.record.Printf("client of %s has for %s status %d, seal %q, error %v, after %d ms",
		n.Name(), a.ID, a.Status, a.Seal, a.Err, a.Ended.Sub(a.Sent).Milliseconds())
	return a
}

func (n *Node) exchange(q Request, a *Answer) error {
	conn, err := net.DialTimeout("tcp4", n.address(8304), time.Second)
	if err != nil {
		return err
	}
	defer conn.Close() //nolint:errcheck // the connection is discarded
	if err := conn.SetDeadline(a.Sent.Add(q.Deadline)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n",
		q.Method, q.Target, Host, a.ID, q.Deadline.Milliseconds())
	if q.Method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), q.Body...)); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer answer.Body.Close() //nolint:errcheck // the connection is discarded
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return err
	}
	a.Status, a.Seal = answer.StatusCode, answer.Header.Get("Server-Seal")
	return nil
}

// AwaitService waits until requests on a safe route are served by a machine.
func (n *Node) AwaitService(target string, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if n.Send(Request{Method: http.MethodGet, Target: target, Deadline: time.Second}).Status == http.StatusOK {
			return true
		}
	}
	return false
}
