package dispatcher_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/action"
	"github.com/papayapath/papayapath/pkg/contract"
	"github.com/papayapath/papayapath/pkg/dispatcher"
	"github.com/papayapath/papayapath/pkg/importance"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
)

const (
	depth    = len(names)
	replicas = 3
)

// names are the services of the chain.
var names = [...]string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10", "s11", "s12", "s13"}

// mesh drives one dispatcher for each server of a chain of services, in which
// service i calls the services that children[i] lists, in that order.
type mesh struct {
	now      time.Time
	random   *rand.Rand
	children [depth][]int
	strays   [depth]bool // the service does not forward the call's context
	failing  float64     // part of the attempts that fail
	nodes    map[instance.ID]*dispatcher.Dispatcher
	runs     [depth]int
	strayed  int // retries of calls without a known parent
}

func newMesh(seed uint64, bound int) *mesh {
	m := &mesh{now: start, random: rand.New(rand.NewPCG(seed, 2)), nodes: map[instance.ID]*dispatcher.Dispatcher{}}
	t := contracts{contract.New(
		"quimper", contract.WithRate(1e6, 1e6), contract.WithRetries(bound),
		contract.WithClass(contract.NewClass("s0", "GET", "/", importance.Normal, true, time.Hour)),
	)}
	for n := range depth*replicas + 1 {
		d := dispatcher.New(id(n), dispatcher.WithContracts(t), dispatcher.WithRandom(m.random))
		for i := range depth * replicas {
			d.Join(m.now, id(i+1), names[i/replicas], "domain")
		}
		m.nodes[id(n)] = d
	}
	for i := range depth - 1 {
		m.children[i] = []int{i + 1}
	}
	return m
}

// call runs a call to its end and returns its answer.
func (m *mesh) call(from instance.ID, r *dispatcher.Request) *message.Answer {
	d := m.nodes[from]
	_, out := d.Arrive(m.now, r, nil)
	for {
		next := out[0]
		out = out[1:]
		switch next.Kind {
		case action.Finish:
			return next.Answer
		case action.Offer:
			if r.Origin == dispatcher.Backend && r.Parent == nil && next.Offer.Repeats() {
				m.strayed++
			}
			out = m.deliver(d, next, out)
		}
	}
}

// deliver runs an attempt and lets it fail in one of four ways.
func (m *mesh) deliver(d *dispatcher.Dispatcher, a action.Action, out []action.Action) []action.Action {
	m.now = m.now.Add(time.Millisecond)
	o := a.Offer
	fault := 4
	if m.random.Float64() < m.failing {
		fault = m.random.IntN(4)
	}
	answer := &message.Answer{Call: o.Call, Attempt: o.Attempt, Limit: 100}
	switch fault {
	case 0:
		return d.Lost(m.now, a.To, o.Call, o.Attempt, false, out)
	case 1:
		answer.Outcome, answer.Reason = outcome.NotRun, outcome.Overload
		return d.Answer(m.now, a.To, answer, out)
	}
	complete := m.run(a.To, o)
	answer.UnusedRetries = m.nodes[a.To].ParentDone(o.Call)
	switch {
	case fault == 2:
		return d.Lost(m.now, a.To, o.Call, o.Attempt, true, out)
	case fault == 3 || !complete:
		answer.Outcome, answer.Reason = outcome.Unknown, outcome.Crashed
	default:
		answer.Outcome, answer.Status = outcome.Complete, 200
	}
	return d.Answer(m.now, a.To, answer, out)
}

// run makes the child calls of one run and stops at the first that fails.
func (m *mesh) run(at instance.ID, o *message.Offer) bool {
	service := slices.Index(names[:], o.Service)
	m.runs[service]++
	m.nodes[at].ParentStart(m.now, o)
	for i, c := range m.children[service] {
		r := &dispatcher.Request{
			Origin: dispatcher.Backend, Service: names[c], Method: "GET", Path: "/", Content: uint64(i),
			Customer: "quimper", Timeout: time.Hour, Parent: o,
		}
		if m.strays[service] {
			r.Parent = nil
		}
		if m.call(at, r).Outcome != outcome.Complete {
			return false
		}
	}
	return true
}

func (m *mesh) request(root string) *message.Answer {
	return m.call(id(0), &dispatcher.Request{Service: "s0", Method: "GET", Path: "/", Customer: "quimper", Root: root})
}

func (m *mesh) retried() (n int) {
	for _, d := range m.nodes {
		n += int(d.Stats().Count(dispatcher.Retries))
	}
	return n
}

// plain returns the runs of a request in which nothing fails.
func (m *mesh) plain(t *testing.T) [depth]int {
	require.Equal(t, outcome.Complete, m.request("plain").Outcome)
	runs := m.runs
	m.runs = [depth]int{}
	return runs
}

// shapes are call trees, all 14 deep.
var shapes = map[string]func(m *mesh){
	"chain": func(*mesh) {},
	"fan-out to one service": func(m *mesh) {
		for _, i := range []int{2, 5, 12} {
			m.children[i] = []int{i + 1, i + 1, i + 1}
		}
	},
	"diamonds": func(m *mesh) {
		for _, i := range []int{1, 4, 7, 11} {
			m.children[i] = []int{i + 1, i + 2}
		}
	},
	"chain with servers that do not forward": func(m *mesh) {
		m.strays[3], m.strays[9] = true, true
	},
}

// Guards against retries that multiply along a chain or over a fan-out: the
// runs at each service stay within those without retries plus the bound.
func TestRunsStayWithinBound(t *testing.T) {
	for shape, build := range shapes {
		t.Run(shape, func(t *testing.T) {
			total, excess := 0, 0
			for seed := range uint64(150) {
				m := newMesh(seed, retries)
				build(m)
				plain := m.plain(t)
				m.failing = []float64{0.02, 0.1, 0.4}[seed%3]
				m.request("faulty")
				require.LessOrEqual(t, m.retried(), retries, "seed %d", seed)
				require.Zero(t, m.strayed, "seed %d", seed)
				total += m.retried()
				for i := range depth {
					require.LessOrEqual(t, m.runs[i], plain[i]+retries, "seed %d, service %d", seed, i)
					excess = max(excess, m.runs[i]-plain[i])
				}
			}
			t.Logf("150 requests: %d retries, most runs of a service above those without retries: %d", total, excess)
			require.Greater(t, total, 50, "failures must cause retries")
			require.Positive(t, excess, "retries must cause runs")
		})
	}
}

// Guards against a resend that starts with a fresh budget.
func TestResendsShareTheBound(t *testing.T) {
	m := newMesh(3, retries)
	m.plain(t)
	m.failing = 0.1
	for range 20 {
		m.request("faulty")
	}
	for i := range depth {
		require.LessOrEqual(t, m.runs[i], 1+retries, "service %d", i)
	}
	require.Greater(t, m.runs[0], 1, "a resend runs while there is budget")
}
