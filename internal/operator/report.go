package operator

import (
	"time"

	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/node"
)

// Report is the state of a node as operators see it. It is filled for JSON.
type Report struct {
	Node      string   `json:"node"`
	Ready     bool     `json:"ready"`   // the node has caught up with the configuration
	Version   string   `json:"version"` // declarations in force
	Service   string   `json:"service"`
	Present   bool     `json:"present"` // the backend server announces itself
	Draining  bool     `json:"draining"`
	Epoch     uint64   `json:"epoch"`     // owner table of the service
	Lease     int64    `json:"lease"`     // ms for which calls that must not run twice may run; negative if none
	Limit     int      `json:"limit"`     // learned concurrency limit
	Running   int      `json:"running"`   // calls on the backend server
	Queued    int      `json:"queued"`    // calls that wait
	Threshold uint16   `json:"threshold"` // lowest priority that is queued under load
	Members   []Member `json:"members"`
}

// Member is another node as operators see it.
type Member struct {
	Node     string   `json:"node"`
	State    string   `json:"state"`
	Draining bool     `json:"draining"`
	Services []string `json:"services"`
	Domain   string   `json:"domain"`
}

var states = map[message.MemberState]string{
	message.Alive: "alive", message.Suspected: "suspected", message.Dead: "dead", message.Left: "left",
}

func newReport(n *node.Node, now time.Time) Report {
	s := n.Status(now)
	server := s.Server()
	r := Report{
		Node: n.Self().String(), Ready: n.Ready(), Version: s.Version().String(),
		Service: s.Service(), Present: s.Present(), Draining: s.Draining(),
		Epoch: s.Epoch(), Lease: s.Lease().Milliseconds(),
		Limit: server.Limit(), Running: server.Running(), Queued: server.Queued(),
		Threshold: uint16(server.Threshold()),
	}
	for _, m := range s.Members() {
		r.Members = append(r.Members, Member{
			Node: m.ID.String(), State: states[m.State], Draining: m.Draining,
			Services: m.Metadata.Services, Domain: m.Metadata.Domain,
		})
	}
	return r
}
