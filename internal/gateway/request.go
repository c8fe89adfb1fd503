package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

// Names of the header fields that callers and nodes exchange.
const (
	HeaderCustomer = "Papayapath-Customer"
	HeaderRequest  = "Papayapath-Request"
	HeaderTimeout  = "Papayapath-Timeout"
	HeaderCall     = "Papayapath-Call"
	HeaderDeadline = "Papayapath-Deadline"
	HeaderAttempt  = "Papayapath-Attempt"
	HeaderOutcome  = "Papayapath-Outcome"
	HeaderReason   = "Papayapath-Reason"
	HeaderKey      = "Idempotency-Key"
	HeaderTrace    = "Traceparent"
)

// prefix starts the names of all header fields that nodes interpret.
const prefix = "Papayapath-"

// Request is an HTTP request for a call to a service. It shares no memory
// with the HTTP library, which reuses its buffers.
type Request struct {
	Service  string
	Method   string
	Path     string // path and query after the service, with a leading slash
	Header   []message.Field
	Body     []byte
	Customer string
	Root     string // id of the customer's request; empty if none was given
	Key      string // idempotency key; empty if none was given
	Timeout  time.Duration
	Parent   string // call for which a backend server makes this one
	Internal bool   // the request comes from the own backend server
	Trace    string // W3C traceparent
}

// read copies a request out of the buffers of the HTTP library. It returns a
// *RequestError if the request breaks a rule of the protocol.
func read(c fiber.Ctx, internal bool) (*Request, error) {
	if len(c.Request().Body()) > message.MaxBodyBytes {
		return nil, &RequestError{field: "body", reason: "is too large", code: outcome.TooLarge}
	}
	service, rest, err := split(string(c.Request().URI().RequestURI()))
	if err != nil {
		return nil, err
	}
	r := &Request{
		Service:  service,
		Path:     rest,
		Method:   strings.Clone(c.Method()),
		Header:   fields(c),
		Body:     append([]byte(nil), c.Request().Body()...),
		Customer: strings.Clone(c.Get(HeaderCustomer)),
		Root:     strings.Clone(c.Get(HeaderRequest)),
		Key:      strings.Clone(c.Get(HeaderKey)),
		Trace:    strings.Clone(c.Get(HeaderTrace)),
		Internal: internal,
	}
	if internal {
		r.Parent = strings.Clone(c.Get(HeaderCall))
	}
	r.Timeout, err = timeout(c.Get(HeaderTimeout))
	return r, err
}

// split divides a request URI into the service and the rest.
func split(uri string) (service, rest string, err error) {
	service, _, _ = strings.Cut(strings.TrimPrefix(uri, "/"), "?")
	service, _, _ = strings.Cut(service, "/")
	if service == "" || !strings.HasPrefix(uri, "/") {
		return "", "", &RequestError{field: "path", reason: "does not start with the name of a service", code: outcome.Malformed}
	}
	rest = uri[1+len(service):]
	if !strings.HasPrefix(rest, "/") {
		rest = "/" + rest
	}
	return service, rest, nil
}

func timeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, &RequestError{field: HeaderTimeout, reason: "is not a positive number of milliseconds", code: outcome.Malformed}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// fields returns the header fields that the backend server gets to see.
func fields(c fiber.Ctx) []message.Field {
	var list []message.Field
	for name, value := range c.Request().Header.All() {
		if n := string(name); forwarded(n) {
			list = append(list, message.Field{Name: n, Value: string(value)})
		}
	}
	return list
}

// hopByHop lists the fields that concern one connection only (RFC 9110,
// section 7.6.1), and those that the node sets itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true, HeaderTrace: true, HeaderKey: true,
}

func forwarded(name string) bool {
	return !hopByHop[name] && !strings.HasPrefix(name, prefix)
}
