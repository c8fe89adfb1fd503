package runtime

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/backend"
	"github.com/papayapath/papayapath/internal/gateway"
	"github.com/papayapath/papayapath/pkg/node"
)

// announcement is the body of POST /announce.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// notice is the body of an answer to the backend server.
type notice struct {
	Error string `json:"error,omitempty"`
}

func (r *Runtime) announceRoute() gateway.Option {
	return gateway.WithRoute(http.MethodPost, "/announce", func(body []byte) (int, any) {
		var a announcement
		if err := json.Unmarshal(body, &a); err != nil {
			return http.StatusBadRequest, notice{Error: err.Error()}
		}
		if a.Service == "" || a.Address == "" || a.Slots <= 0 {
			return http.StatusBadRequest, notice{Error: "service, address and slots must be set"}
		}
		if err := r.announce(a); err != nil {
			return http.StatusConflict, notice{Error: err.Error()}
		}
		return http.StatusOK, notice{}
	})
}

func (r *Runtime) announce(a announcement) error {
	if !r.isOpen() {
		return &StoppedError{}
	}
	if c := r.backend.Load(); c == nil || c.address != a.Address {
		r.backend.Store(&backendClient{Backend: backend.New(a.Address), address: a.Address})
		if c != nil {
			c.Close()
		}
	}
	var err error
	r.do(func(now time.Time, out *node.Output) {
		err = r.node.Announce(now, a.Service, a.Address, a.Slots, out)
	})
	return err
}

func (r *Runtime) drainRoute() gateway.Option {
	return gateway.WithRoute(http.MethodPost, "/drain", func([]byte) (int, any) {
		r.Drain()
		return http.StatusOK, notice{}
	})
}

// Drain refuses new work for the own backend server from now on.
func (r *Runtime) Drain() { r.do(r.node.Drain) }

// loseBackend reports that the backend server of client no longer accepts
// connections, unless another one has taken its place.
func (r *Runtime) loseBackend(client *backendClient) {
	if r.backend.Load() == client {
		r.do(r.node.Lose)
	}
}
