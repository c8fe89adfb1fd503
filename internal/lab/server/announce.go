package server

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/papayapath/papayapath/internal/lab/caller"
)

// announceInterval is the interval between announcements to the node.
const announceInterval = 200 * time.Millisecond

// announcement is the body of POST /announce.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// announce sends announcements to the server's node until ctx ends. A paused
// server sends none.
func (s *Server) announce(ctx context.Context) {
	for s.runTimer.waitResumed(ctx) {
		// Sample health and load at each interval, so that lagged reports have earlier
		// states to return.
		s.state()
		if !s.draining.Load() {
			_ = s.postToNode(ctx, "/announce", announcement{
				Service: s.service, Address: s.Address(),
				Slots: s.slots, Connections: s.connections,
			})
		}
		if !sleep(ctx, announceInterval) {
			return
		}
	}
}

// Drain asks the node to send no new requests to the server. It returns a
// *caller.Error if the node can't be reached.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.postToNode(ctx, "/drain", announcement{Service: s.service, Address: s.Address()})
}

// postToNode sends a message to the node as JSON.
func (s *Server) postToNode(ctx context.Context, path string, message announcement) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_, err = s.caller.Do(ctx, caller.Request{
		Method: http.MethodPost, URL: "http://" + s.node + path,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	return err
}
