package roster

import (
	"math"
	"time"

	"github.com/papayapath/papayapath/pkg/distribution"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/speed"
)

const (
	// The loss of a choice is counted in answers within their objective.

	// crossingLoss is what it costs to send a request and its answer to another failure
	// domain: as much as one late answer in 50.
	crossingLoss = 0.02
	// delayWeight is the loss for an answer that takes as long as its objective. It
	// decides between servers at which the objective is equally likely to be met.
	delayWeight = 0.05
	// fullLoss is the loss for a request that takes the last free slot, since the next one
	// waits. It exceeds crossingLoss, so that no request waits while another failure
	// domain has free slots.
	fullLoss = 0.1
	// comfortableRoom is the number of free slots, in square roots of the limit, from
	// which there is no such loss. The number of running requests varies by about one
	// square root.
	comfortableRoom = 2
	// waitWeight is the loss for a wait as long as the objective. It exceeds delayWeight
	// since requests behind wait as well, and entry nodes admit less from waits of an
	// eighth of it on.
	waitWeight = 1
	// shedLoss is the loss for the retry of a shed request. A server that sheds half of its
	// requests costs three of them, less than a wait at the others: its free slots are
	// used as far as the retry budget allows.
	shedLoss = 0.01
	// defaultHorizon is the objective of routes that have none, in service times.
	defaultHorizon = 16
	// slowdownExpiry is the age from which a passing slowdown is ignored.
	slowdownExpiry = time.Second
	// loadVariation is the relative deviation of the load of a server from the reported
	// one that is assumed after one service time. Each choice draws from it, so that nodes
	// with the same old reports do not choose the same server.
	loadVariation = 0.5
	// speedVariation is the relative deviation of the speed of a server that has not
	// reported for long, or for some other route only: where the known servers are too
	// slow, it is tried. It grows from the age speedMemory on.
	speedVariation = 0.5
	speedMemory    = time.Second
	// meanLoadWeight is the weight of one report in the mean load of a server.
	meanLoadWeight = 1.0 / 8
	// callsWeight is the weight of one answer in the mean time of the calls of a route.
	callsWeight = 1.0 / 32
	// maxSlowdown, maxLoad and maxTime bound what another node reports. Loads are relative
	// to the limit.
	maxSlowdown = 64
	maxLoad     = 64
	maxTime     = time.Hour
	// maxOverdue bounds the number of overdue answers that count against a server.
	maxOverdue = 15
	// maxRoutes bounds the routes whose service times are known.
	maxRoutes = 128
)

// Request is a request for which a server is chosen by ChooseFor.
type Request struct {
	Service string
	Route   message.Route
	// Objective is the time left until the latency objective, 0 if there is none. It is
	// negative when the objective has passed.
	Objective time.Duration
}

// Outlook is what the node beside a server expects of it. It comes with a report.
type Outlook struct {
	Wait        time.Duration // until a further request starts
	ServiceTime time.Duration // usual one of the route there, without calls
	Slowdown    float64       // factor on it at present
}

// outlook is the state of a server for ChooseFor.
type outlook struct {
	group     *group // of the candidates of its service, nil if it is none
	speed     speed.Server
	slowdown  float64
	lossRate  float64   // weighted mean rate of answers without a known outcome
	interval  float64   // ns between two starts at the full server, 0 if not known
	meanLoad  float64   // mean of the reported loads relative to the limits
	heard     time.Time // time of the last report
	overdue   int       // overdue answers since then
	overdueAt time.Time
}

// group is what is known of the servers of a service together.
type group struct {
	near, far []*server // by failure domain
	slowness  mean
	load      mean // relative to the limits
}

// mean is the mean of values of which each may change.
type mean struct {
	sum   float64
	count int
}

func (m *mean) add(v float64) {
	m.sum += v
	m.count++
}

func (m *mean) replace(before, after float64, known bool) {
	if !known {
		m.add(after)
		return
	}
	m.sum += after - before
}

// valueOr returns the mean, or a default without values.
func (m *mean) valueOr(without float64) float64 {
	if m.count == 0 {
		return without
	}
	return m.sum / float64(m.count)
}

// without returns the mean of the values other than v, or v if there is none. A mean that
// included a slow server of a small service would hide that it is slower than the others.
func (m *mean) without(v float64) float64 {
	if m.count < 2 {
		return v
	}
	return (m.sum - v) / float64(m.count-1)
}

// route is what is known of the requests of a route.
type route struct {
	speed speed.Route
	calls float64                   // mean ns that its answers take beyond the service time
	ratio distribution.Distribution // of the times of answers relative to the expected ones
}

// usualRatio is the distribution of the times of answers of routes that have few so far:
// a log-normal one with a spread of 0.5 and a tail of 2 in 100 at four times the mean.
var usualRatio = func() *distribution.Distribution {
	d := &distribution.Distribution{}
	for _, v := range []float64{0.28, 0.39, 0.47, 0.54, 0.61, 0.68, 0.76, 0.84, 0.93, 1.04, 1.17, 1.33, 1.55, 1.92, 2.6} {
		for range 13 {
			d.Add(v)
		}
	}
	for range 5 {
		d.Add(4)
	}
	return d
}()

// addToGroups puts the candidates into the groups of their services.
func (r *Roster) addToGroups(candidates []Candidate) {
	clear(r.groups)
	for _, s := range r.servers {
		s.outlook.group = nil
	}
	for _, c := range candidates {
		g := r.groups[c.Service]
		if g == nil {
			g = &group{}
			r.groups[c.Service] = g
		}
		s := r.servers[c.Node]
		s.outlook.group = g
		if s.sameDomain {
			g.near = append(g.near, s)
		} else {
			g.far = append(g.far, s)
		}
		if s.outlook.speed.Known() {
			g.slowness.add(s.outlook.speed.Slowness())
		}
		if !s.outlook.heard.IsZero() {
			g.load.add(s.outlook.meanLoad)
		}
	}
}

// RecordOutlook stores what the node beside a server expects of it, after RecordReport.
// The argument latency is the time of a complete answer without that in queues, or 0.
func (r *Roster) RecordOutlook(now time.Time, node string, key message.Route, o Outlook, latency time.Duration) {
	s := r.state(node)
	l := &s.outlook
	g := l.group
	if g == nil {
		g = &group{}
	}
	limit := max(1, s.limit())
	load := max(0, min(maxLoad, float64(s.report.Load)/float64(limit)))
	before, isKnown := l.meanLoad, !l.heard.IsZero()
	if isKnown {
		load = before + meanLoadWeight*(load-before)
	}
	l.meanLoad = load
	g.load.replace(before, load, isKnown)
	l.heard, l.overdue, l.slowdown, l.interval = now, 0, 1, 0
	if o.Slowdown > 0 {
		l.slowdown = min(maxSlowdown, o.Slowdown)
	}
	if beyond := s.report.Load - limit + 1; o.Wait > 0 && beyond > 0 {
		l.interval = float64(min(o.Wait, maxTime)) / float64(beyond)
	}
	if o.ServiceTime <= 0 || o.ServiceTime > maxTime {
		return
	}
	known := r.route(key)
	slowness, isKnown := l.speed.Slowness(), l.speed.Known()
	speed.Learn(&known.speed, &l.speed, o.ServiceTime, g.slowness.valueOr(0))
	g.slowness.replace(slowness, l.speed.Slowness(), isKnown)
	if latency <= 0 || latency > maxTime {
		return
	}
	if !s.sameDomain {
		latency -= remoteLatency
	}
	serviceTime := float64(known.speed.Time()) * l.speed.Slowness() * l.slowdown
	known.calls = max(0, known.calls+callsWeight*(float64(latency)-serviceTime-known.calls))
	known.ratio.Add(float64(latency) / (serviceTime + known.calls))
}

// route returns the state of a route and creates it if needed.
func (r *Roster) route(key message.Route) *route {
	known := r.routes[key]
	if known == nil {
		if len(r.routes) >= maxRoutes {
			clear(r.routes)
		}
		known = &route{}
		r.routes[key] = known
	}
	return known
}

// ChooseFor returns the usable candidate at which a request loses least, or "" if there
// is none. The loss counts the chance that the answer misses the objective, the traffic
// between failure domains, the slots that are left to others, and the time of the
// answer. The argument random, in [0, 1), varies the choice within what old reports
// leave open. Shedding servers are chosen as by Choose.
func (r *Roster) ChooseFor(now time.Time, req Request, random float64, usable func(node string) bool, budgetAllows func(requiredRetries float64) bool) string {
	g := r.groups[req.Service]
	if g == nil {
		return ""
	}
	p := r.prospect(now, req, g, random)
	var best, healthy option
	for _, servers := range [...][]*server{g.near, g.far} {
		if healthy.server != nil && healthy.loss <= crossingLoss {
			break
		}
		offset := int(random * float64(len(servers)))
		for i := range servers {
			s := servers[(i+offset)%len(servers)]
			failureRate := s.expectedFailureRate(now)
			loss := p.loss(s, failureRate)
			improvesBest, improvesHealthy := best.improvedBy(loss), failureRate < sheddingThreshold && healthy.improvedBy(loss)
			if !improvesBest && !improvesHealthy || !usable(s.node) {
				continue
			}
			if improvesBest {
				best = option{s, loss}
			}
			if improvesHealthy {
				healthy = option{s, loss}
			}
		}
	}
	switch {
	case best.server == nil:
		return ""
	case healthy.server != nil && best.server != healthy.server && !budgetAllows(best.server.requiredRetries(now)):
		return healthy.server.node
	}
	return best.server.node
}

// option is the server with the lowest loss so far.
type option struct {
	server *server
	loss   float64
}

// improvedBy reports whether a server with the given loss is a better choice.
func (o option) improvedBy(loss float64) bool { return o.server == nil || loss < o.loss }

// prospect is a request and what is known of its service, for the comparison of servers.
// Times are in nanoseconds.
type prospect struct {
	now         time.Time
	objective   float64 // +Inf if there is none
	horizon     float64 // objective by which delays are weighed
	serviceTime float64 // at a server of slowness 1
	calls       float64
	ratio       *distribution.Distribution
	slowness    mean    // of the servers
	load        float64 // of a typical server, relative to its limit
	random      uint64  // state of the random numbers
}

func (r *Roster) prospect(now time.Time, req Request, g *group, random float64) prospect {
	p := prospect{
		now: now, serviceTime: float64(minServiceTime), ratio: usualRatio,
		slowness: g.slowness, load: min(1, g.load.valueOr(0)), random: math.Float64bits(random),
	}
	if known := r.routes[req.Route]; known != nil {
		p.serviceTime, p.calls = max(p.serviceTime, float64(known.speed.Time())), known.calls
		if known.ratio.Known() {
			p.ratio = &known.ratio
		}
	}
	typical := p.serviceTime*p.slowness.valueOr(1) + p.calls
	p.objective, p.horizon = float64(req.Objective), max(typical, float64(req.Objective))
	if req.Objective == 0 {
		p.objective, p.horizon = math.Inf(1), defaultHorizon*typical
	}
	return p
}

// loss returns the loss of a request at a server that sheds a fraction of its requests.
func (p *prospect) loss(s *server, failureRate float64) float64 {
	l := &s.outlook
	age := p.now.Sub(l.heard)
	// A penalty ends with its age, so that a server that was slow gets requests again
	// whose answers show its present speed.
	slowness := l.speed.Slowness()
	if slowness == 0 {
		slowness = p.slowness.valueOr(1)
	} else if typical := p.slowness.without(slowness); slowness > typical {
		slowness = typical + decay(age, fullWeightAge, penaltyExpiry)*(slowness-typical)
	}
	if age > speedMemory {
		slowness *= 1 + speedVariation*min(1, float64(age)/float64(penaltyExpiry))*(2*p.nextRandom()-1)
	}
	if !l.heard.IsZero() {
		slowness *= 1 + decay(age, fullWeightAge, slowdownExpiry)*(l.slowdown-1)
	}
	if l.overdue > 0 {
		slowness *= 1 + decay(p.now.Sub(l.overdueAt), fullWeightAge, penaltyExpiry)*float64(l.overdue)
	}
	serviceTime := p.serviceTime * slowness
	limit := float64(max(1, s.limit()))
	slotTime := max(float64(s.report.Time), serviceTime)
	load, isRecent := p.currentLoad(s, age, limit, slotTime)
	free := limit - load
	loss, wait := 0.0, 0.0
	if room := free / math.Sqrt(limit); room < comfortableRoom {
		part := 1 - max(0, room)/comfortableRoom
		loss = fullLoss * part * part
	}
	if free < 1 {
		interval := l.interval
		if interval == 0 || !isRecent {
			interval = slotTime / limit
		}
		wait = (1 - free) * interval
		loss += waitWeight * wait / p.horizon
	}
	network := 0.0
	if !s.sameDomain {
		loss += crossingLoss
		network = float64(remoteLatency)
	}
	running := serviceTime + p.calls
	loss += p.ratio.Exceeded((p.objective-wait-network)/running) + delayWeight*(wait+network+running)/p.horizon
	if failureRate > 0 {
		success := max(minSuccessRate, 1-failureRate)
		loss += shedLoss*(1/(success*success)-1) + decay(age, fullWeightAge, penaltyExpiry)*l.lossRate
	}
	return loss
}

// currentLoad returns the number of requests that a server is assumed to have now, and
// whether its last report still tells of it.
//
// Within some service times, the reported requests are replaced by others: the load goes
// back to the mean of the server, and what other nodes have sent since is not known. The
// mean of a server that has not reported for long is that of its service.
func (p *prospect) currentLoad(s *server, age time.Duration, limit, slotTime float64) (load float64, isRecent bool) {
	l := &s.outlook
	own := float64(min(s.sent, s.inFlight))
	if s.report.Share > 0 {
		return decay(age, fullWeightAge, s.report.loadExpiry())*float64(s.report.Load) + own, true
	}
	typical := p.load + decay(age, fullWeightAge, loadExpiry)*(l.meanLoad-p.load)
	load = limit * typical
	elapsed := float64(age) / slotTime
	if elapsed < loadMemory {
		load += (1 - elapsed/loadMemory) * (float64(s.report.Load) - load)
	}
	load *= 1 + loadVariation*min(1, elapsed/loadMemory)*(2*p.nextRandom()-1)
	return max(load+own, float64(s.inFlight)), elapsed < loadMemory
}

// loadMemory is the time, in service times, after which the requests that a server had
// are taken for ended.
const loadMemory = 2

// nextRandom returns a number in [0, 1) by splitmix64 (Steele, Lea and Flood, 2014).
func (p *prospect) nextRandom() float64 {
	p.random += 0x9E3779B97F4A7C15
	z := p.random
	z = (z ^ z>>30) * 0xBF58476D1CE4E5B9
	z = (z ^ z>>27) * 0x94D049BB133111EB
	z ^= z >> 31
	return float64(z>>11) / (1 << 53)
}
