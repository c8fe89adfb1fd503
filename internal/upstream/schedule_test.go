package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/papayapath/papayapath/internal/upstream"
)

// reaction is what a server does with a request, and what its client may be told.
type reaction struct {
	answer   func(id, body string) string
	closes   bool // after the answer
	succeeds bool // the answer is whole and the client's own
	refuses  bool // it says that the request has not run
	keeps    bool // nothing follows the answer, and the connection stays
}

// chunked returns the body in chunks of two bytes, up to the last one.
func chunked(body string) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(2, len(body))
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

const seal = "HTTP/1.1 200 OK\r\nSeal: 1\r\nId: "

var reactions = map[string]reaction{
	"whole": {answer: response, succeeds: true, keeps: true},
	"whole, in chunks": {
		answer: func(id, body string) string {
			return seal + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body) + "0\r\n\r\n"
		},
		succeeds: true,
	},
	"whole, then closed": {answer: response, succeeds: true, closes: true},
	"whole, without length": {
		answer: func(id, body string) string { return seal + id + "\r\nConnection: close\r\n\r\n" + body }, succeeds: true, closes: true,
	},
	"twice": {answer: func(id, body string) string { return response(id, body) + response(id, body) }, succeeds: true},
	"behind a copy of an earlier one": {
		answer: func(id, body string) string { return response("earlier", "earlier") + response(id, body) }, succeeds: true,
	},
	"behind too many copies": {
		answer: func(id, body string) string {
			return strings.Repeat(response("earlier", "earlier"), 3) + response(id, body)
		},
	},
	"of another": {answer: func(id, body string) string { return response(id+"0", body) }, closes: true},
	"cut in its length": {
		answer: func(id, body string) string { s := response(id, body); return s[:len(s)-1] }, closes: true,
	},
	"cut in its header": {answer: func(id, _ string) string { return seal + id + "\r\nContent-Le" }, closes: true},
	"without its last chunk": {
		answer: func(id, body string) string {
			return seal + id + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body)
		}, closes: true,
	},
	"cut in a chunk": {
		answer: func(id, body string) string { return seal + id + "\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + body }, closes: true,
	},
	"unsigned": {
		answer: func(id, body string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		},
	},
	"refusal": {answer: func(id, _ string) string { return refusalOf(id) }, refuses: true, keeps: true},
	"refusal, twice": {
		answer: func(id, _ string) string { return refusalOf(id) + refusalOf(id) }, refuses: true,
	},
	"none": {answer: func(string, string) string { return "" }, closes: true},
}

func refusalOf(id string) string {
	return "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// scheduledStep is a request with what the server does with it.
type scheduledStep struct {
	Reaction, ID, Body string
	Late               bool // a copy of the answer before it on the connection comes first
}

// content returns the body of the answer to a step.
func (s scheduledStep) content(step int) string { return fmt.Sprintf("%d%s", step, s.Body) }

// serveSteps plays the steps, which requests name in the field Step.
func serveSteps(ln net.Listener, steps []scheduledStep) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			var late string
			for r := bufio.NewReader(c); ; {
				var req fasthttp.Request
				if req.Read(r) != nil {
					return
				}
				i, _ := strconv.Atoi(string(req.Header.Peek("Step")))
				s := steps[i]
				if !s.Late {
					late = ""
				}
				io.WriteString(c, late+reactions[s.Reaction].answer(s.ID, s.content(i)))
				if reactions[s.Reaction].closes {
					return
				}
				late = response(s.ID, "late copy")
			}
		}()
	}
}

// Guards against a caller that gets the answer to another request or to an earlier one
// with the same id, a part of an answer, or "not run" for a request that has run,
// whatever a server does before: it answers twice, late, or breaks off.
func TestScheduleOfAnswers(t *testing.T) {
	names := slices.Sorted(maps.Keys(reactions))
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) scheduledStep {
			return scheduledStep{
				Reaction: rapid.SampledFrom(names).Draw(rt, "reaction"), ID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "id"),
				Body: rapid.StringMatching(`[a-z]{1,9}`).Draw(rt, "body"), Late: rapid.Bool().Draw(rt, "late"),
			}
		}), 1, 12).Draw(rt, "steps")
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(rt, err)
		defer ln.Close()
		go serveSteps(ln, steps)
		p := upstream.New(ln.Addr().String(), codec{}, 1<<20)
		for i, s := range steps {
			results := make(chan *upstream.Answer, 2)
			p.Start(time.Now(), &upstream.Request{
				ID: s.ID, Raw: fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: a\r\nId: %s\r\nStep: %d\r\n\r\n", s.ID, i), Timeout: 10 * time.Second,
			}, func(a *upstream.Answer) { results <- a })
			a := <-results
			r := reactions[s.Reaction]
			switch {
			case a.NotRun:
				require.True(rt, r.refuses, "step %d", i)
			case a.Err == nil:
				require.True(rt, r.succeeds, "step %d", i)
				require.Equal(rt, s.content(i), string(a.Body.Bytes()), "step %d", i)
			case i == 0 || reactions[steps[i-1].Reaction].keeps:
				require.False(rt, r.succeeds, "step %d: %v", i, a.Err)
			}
			require.True(rt, a.Sent, "step %d", i)
			a.Body.Release()
		}
	})
}
