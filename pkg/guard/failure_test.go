package guard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/guard"
	"github.com/papayapath/papayapath/pkg/instance"
	"github.com/papayapath/papayapath/pkg/lease"
	"github.com/papayapath/papayapath/pkg/message"
	"github.com/papayapath/papayapath/pkg/outcome"
	"github.com/papayapath/papayapath/pkg/ownership"
)

// settled returns a world whose owners have run for 6 s, so that all nodes own
// keys and new keys run.
func settled(size int) *world {
	w := newWorld(7, size)
	w.run(6 * time.Second)
	return w
}

// keyOf returns a new key that n owns in the table that it knows.
func (w *world) keyOf(n *node) string {
	for range 1000 {
		key := w.newKey()
		if owner, _, _ := n.guard.Owner(key); owner == n.id {
			return key
		}
	}
	panic(n.id.String() + " owns no keys")
}

func requireRefusal(t *testing.T, v guard.Verdict, o outcome.Outcome, r outcome.Reason) {
	t.Helper()
	require.Equal(t, guard.Refuse, v.Decision)
	require.Equal(t, r.String(), v.Reason.String())
	require.Equal(t, o.String(), v.Outcome.String())
}

func (w *world) record(base, id string, from uint64, appender *node, owners ...*node) message.OwnerRecord {
	r := message.OwnerRecord{ID: id, Service: service, Base: from, BaseID: base, Appender: appender.id}
	for _, n := range owners {
		r.Owners = append(r.Owners, n.id)
	}
	return r
}

// next returns a record made from the table that appender has in force.
func (w *world) next(id string, appender *node, owners ...*node) message.OwnerRecord {
	s, _ := appender.guard.Snapshot()
	return w.record(s.Record.ID, id, s.Epoch, appender, owners...)
}

func request(from, to *node, round uint64) message.PromiseRequest {
	s, _ := from.guard.Snapshot()
	return message.PromiseRequest{
		Service: service, Epoch: s.Epoch, Table: s.Record.ID,
		From: from.id, To: to.id, Round: round, Duration: lease.Duration,
	}
}

// Guards against a second run when an owner pauses after its check: the new
// owner must not run the key, and the late write must be refused.
func TestPauseBetweenCheckAndWrite(t *testing.T) {
	w := settled(3)
	a := w.nodes[1]
	key := w.keyOf(a)
	a.hold = 10 * time.Millisecond
	v := a.offerOf(message.Offer{Service: service, Customer: "quimper", Key: key, Content: 1, Remaining: time.Minute})
	require.Equal(t, guard.Run, v.Decision)
	require.False(t, v.Latest.After(a.guard.LeaseEnd()))
	a.paused, a.isolated = w.now.Add(8*time.Second), true
	w.run(7 * time.Second)
	owner, _, _ := w.nodes[0].guard.Owner(key)
	require.NotEqual(t, a.id, owner)
	for _, n := range w.nodes {
		if n.id == owner {
			requireRefusal(t, n.offer(key), outcome.Unknown, outcome.Forgotten)
		}
	}
	w.run(2 * time.Second)
	require.Zero(t, w.runs[key])
	require.Empty(t, w.faults)
}

// Guards against a paused owner that runs new keys on its old lease.
func TestPauseBeyondLease(t *testing.T) {
	w := settled(2)
	a := w.nodes[1]
	a.paused = w.now.Add(3 * time.Second)
	w.run(2900 * time.Millisecond)
	key := w.keyOf(a)
	requireRefusal(t, a.offer(key), outcome.Unknown, outcome.NoLease)
}

// Guards against an untrue "not run" of an owner without a lease: another may
// have run a key issued after the lease, and none can have run an older one.
func TestRefusalWithoutLease(t *testing.T) {
	w := settled(2)
	a := w.nodes[1]
	old := w.keyOf(a)
	a.paused = w.now.Add(time.Minute)
	w.run(5 * time.Second)
	requireRefusal(t, a.offer(old), outcome.NotRun, outcome.NoLease)
	requireRefusal(t, a.offer(w.keyOf(a)), outcome.Unknown, outcome.NoLease)
}

// asks returns the promise requests that n sends next.
func (w *world) asks(n *node) []message.PromiseRequest {
	var asked []message.PromiseRequest
	for i := 0; i < 100 && len(asked) == 0; i++ {
		w.now = w.now.Add(step)
		for _, e := range n.guard.Tick(w.now) {
			if e.Kind == guard.AskPromise {
				asked = append(asked, e.Request)
			}
		}
	}
	return asked
}

// Guards against a promise that renews a lease without being the other owner's
// consent, and against one that counts from its arrival after a pause.
func TestPauseAcrossPromise(t *testing.T) {
	w := settled(2)
	a, b := w.nodes[0], w.nodes[1]
	w.log.down = true
	w.run(1500 * time.Millisecond)
	end := a.guard.LeaseEnd()
	require.True(t, end.After(w.now), "promises renew the lease")
	asked := w.asks(a)
	good := b.guard.PromiseRequest(w.now, asked[0])
	require.True(t, good.Granted)
	for _, alter := range []func(*message.Promise){
		func(p *message.Promise) { p.Granted = false },
		func(p *message.Promise) { p.To = w.start(0, 2).id },
		func(p *message.Promise) { p.From = w.start(1, 2).id },
		func(p *message.Promise) { p.Epoch++ },
		func(p *message.Promise) { p.Round += 100 },
		func(p *message.Promise) { p.Duration = 0 },
	} {
		p := good
		alter(&p)
		a.guard.Promise(w.now, p)
		require.Equal(t, end, a.guard.LeaseEnd())
	}
	sent := w.now
	a.guard.Promise(w.now.Add(3*time.Second), good)
	require.Equal(t, sent.Add(lease.Duration), a.guard.LeaseEnd())
}

// Guards against a promise that vouches for another table, for an instance
// without rights, or without knowledge of the log.
func TestPromiseRefused(t *testing.T) {
	w := settled(2)
	a, b := w.nodes[0], w.nodes[1]
	for _, alter := range []func(*message.PromiseRequest){
		func(r *message.PromiseRequest) { r.Table = "other" },
		func(r *message.PromiseRequest) { r.Epoch++ },
		func(r *message.PromiseRequest) { r.Epoch-- },
		func(r *message.PromiseRequest) { r.To = w.start(0, 2).id },
		func(r *message.PromiseRequest) { r.From = w.start(1, 2).id },
		func(r *message.PromiseRequest) { r.Service = "proofs" },
		func(r *message.PromiseRequest) { r.Duration = 0 },
	} {
		r := request(b, a, 1)
		alter(&r)
		require.False(t, a.guard.PromiseRequest(w.now, r).Granted)
	}
	snapshot, _ := b.guard.Snapshot()
	unread := w.start(0, 1)
	unread.guard.Restore(w.now, snapshot)
	require.False(t, unread.guard.PromiseRequest(w.now, request(b, unread, 1)).Granted)
	require.True(t, a.guard.PromiseRequest(w.now, request(b, a, 1)).Granted)
}

// leaveInDoubt lets a, which sees the given nodes alive, append until the log
// has lost the answers of two appends, and returns the records.
func (w *world) leaveInDoubt(a *node, alive ...instance.ID) []message.OwnerRecord {
	var sent []message.OwnerRecord
	for i := 0; i < 2000 && len(sent) < 2; i++ {
		w.now = w.now.Add(step)
		a.guard.Members(w.now, alive)
		a.guard.Read(w.now, w.now, w.log.batch(0, w.log.end()))
		for _, e := range a.guard.Tick(w.now) {
			if e.Kind == guard.AppendRecord {
				sent = append(sent, e.Record)
				a.guard.AppendDone(w.now, e.Record.ID, guard.InDoubt)
			}
		}
	}
	return sent
}

// Guards against a promise of an owner whose own append may still land after
// a read that doesn't show it.
func TestLostAppendLandsLate(t *testing.T) {
	w := settled(3)
	a, b := w.nodes[0], w.nodes[1]
	sent := w.leaveInDoubt(a, a.id, b.id)
	require.Len(t, sent, 2, "a record that a read doesn't show is sent again")
	require.Equal(t, sent[0], sent[1])
	w.now = w.now.Add(3 * time.Second)
	require.False(t, a.guard.PromiseRequest(w.now, request(b, a, 1)).Granted)
	w.land(sent[0])
	w.land(sent[0])
	a.guard.Read(w.now, w.now, w.log.batch(0, w.log.end()))
	owners, epoch := a.guard.Owners()
	require.Equal(t, 2, owners.Len())
	require.Equal(t, ownership.Epoch(1, w.log.end()-2), epoch, "the second copy has no effect")
}

// Guards against an outage that stops all calls because a repeated table, which
// changes no owner, is in doubt.
func TestRepeatedTableInDoubt(t *testing.T) {
	w := settled(2)
	a, b := w.nodes[0], w.nodes[1]
	require.Len(t, w.leaveInDoubt(a, a.id, b.id), 2)
	require.True(t, a.guard.PromiseRequest(w.now, request(b, a, 1)).Granted)
}

// Guards against two owner tables when two owners sponsor a node at once.
func TestTwoSponsors(t *testing.T) {
	w := settled(2)
	a, b := w.nodes[0], w.nodes[1]
	c, d := w.start(2, 1), w.start(3, 1)
	first, second := w.next("first", a, a, b, c), w.next("second", b, a, b, d)
	w.land(first)
	w.land(second)
	w.run(time.Second)
	for _, n := range w.nodes {
		owners, _ := n.guard.Owners()
		require.False(t, owners.Contains(d.id))
	}
	w.nodes = append(w.nodes, c, d)
	w.run(5 * time.Second)
	key := w.keyOf(d)
	require.Equal(t, guard.Run, d.offer(key).Decision)
	require.NotEqual(t, guard.Run, c.offer(key).Decision)
}

// Guards against a take-over that forgets the rates and the skew of clocks:
// the lease, 1% of it, and twice the skew have to pass.
func TestTakeOverWait(t *testing.T) {
	w := newWorld(1, 1)
	a := w.nodes[0]
	w.land(w.record("", "first", ownership.Base(1), a, a))
	taken := w.now
	a.guard.Read(taken, taken, w.log.batch(0, 1))
	wait := lease.Duration*101/100 + 2*guard.Skew
	for _, c := range []struct {
		after time.Duration
		want  guard.Decision
	}{{wait, guard.Refuse}, {wait + time.Millisecond, guard.Run}} {
		w.now = taken.Add(c.after)
		a.guard.Read(w.now, w.now, w.log.batch(0, 1))
		require.Equal(t, c.want, a.offer(w.newKey()).Decision)
	}
}

// Guards against a key from the future, which an owner after a take-over could
// take for a new one.
func TestKeyAheadOfClock(t *testing.T) {
	w := settled(1)
	w.now = w.now.Add(guard.Skew + time.Millisecond)
	key := w.newKey()
	w.now = w.now.Add(-guard.Skew - time.Millisecond)
	requireRefusal(t, w.nodes[0].offer(key), outcome.NotRun, outcome.Stale)
}

// Guards against a table that the log drops while it is in force, and against
// a mesh that can't restart from a trimmed log.
func TestRetentionEndsUnderTable(t *testing.T) {
	w := settled(3)
	w.run(3 * retention)
	require.Positive(t, w.log.first)
	require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
	for i := range w.nodes {
		w.restart(i)
	}
	w.run(8 * time.Second)
	require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
}

// Guards against an outage longer than the retention: owners that missed no
// record go on, and a new node gets the table from them.
func TestOutageLongerThanRetention(t *testing.T) {
	w := settled(3)
	w.log.down = true
	w.run(retention + time.Second)
	require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
	w.restart(2)
	w.log.down = false
	w.run(8 * time.Second)
	require.Equal(t, guard.Run, w.nodes[2].offer(w.keyOf(w.nodes[2])).Decision)
}

// Guards against a first table on a trimmed log, whose lost table may still be
// in force, until an operator releases the service.
func TestTrimmedLogWithoutTable(t *testing.T) {
	w := newWorld(3, 2)
	w.log.generation = 2
	for range 3 {
		w.land(message.OwnerRecord{ID: "other", Service: "proofs"})
	}
	w.log.first = 2
	w.run(8 * time.Second)
	_, epoch := w.nodes[0].guard.Owners()
	require.Zero(t, epoch)
	require.Equal(t, uint64(3), w.log.end())
	w.land(message.OwnerRecord{ID: "operator", Service: service, Release: true})
	w.run(6 * time.Second)
	require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
}

// Guards against rights that outlive the log generation they rest on, and
// against a late append of the old generation.
func TestNewGeneration(t *testing.T) {
	w := settled(2)
	a, late := w.nodes[0], w.nodes[1]
	stale := w.record("", "stale", ownership.Base(1), late, late)
	w.log = platformLog{generation: 2}
	w.land(stale)
	a.guard.Read(w.now, w.now, w.log.batch(0, 1))
	require.True(t, a.guard.LeaseEnd().IsZero())
	_, epoch := a.guard.Owners()
	require.Zero(t, epoch, "the record was made in another generation")
	w.run(8 * time.Second)
	owners, epoch := a.guard.Owners()
	require.Equal(t, 2, owners.Len(), "an owner of the lost table starts again")
	require.Equal(t, uint64(2), ownership.Generation(epoch))
}

// Guards against a first table by a node that doesn't know whether owners of
// the old generation still run on promises.
func TestNewGenerationWithoutOwners(t *testing.T) {
	w := settled(2)
	w.log = platformLog{generation: 2}
	w.restart(0)
	w.restart(1)
	w.run(5 * time.Second)
	require.Zero(t, w.log.end())
}

// Guards against a lease on records that the log has lost.
func TestLogGoesBack(t *testing.T) {
	w := settled(2)
	a := w.nodes[0]
	key := w.keyOf(a)
	w.log.records = w.log.records[:len(w.log.records)-1]
	a.guard.Read(w.now, w.now, w.log.batch(0, w.log.end()))
	require.NotEqual(t, guard.Run, a.offer(key).Decision)
	require.False(t, a.guard.LeaseEnd().After(w.now))
	w.land(w.record("", "again", ownership.Base(1), a, w.nodes...))
	a.guard.Read(w.now, w.now, w.log.batch(0, w.log.end()))
	requireRefusal(t, a.offer(key), outcome.Unknown, outcome.Forgotten)
}

// Guards against a late answer of an older read that passes for a log that
// went back, and against a lease on a read that doesn't reach the end.
func TestPartialRead(t *testing.T) {
	w := settled(2)
	a := w.nodes[0]
	a.guard.Read(w.now, w.now.Add(-time.Second), w.log.batch(0, w.log.end()-1))
	_, _, known := a.guard.Owner("key")
	require.True(t, known)
	end := a.guard.LeaseEnd()
	part := w.log.batch(0, w.log.end())
	part.End++
	w.now = w.now.Add(time.Second)
	a.guard.Read(w.now, w.now, part)
	require.Equal(t, end, a.guard.LeaseEnd())
}

// Guards against two nodes at one address that both own keys: the older one
// gets no promise and stops when it learns of the newer.
func TestAddressReused(t *testing.T) {
	w := settled(2)
	a, b := w.nodes[0], w.nodes[1]
	other := w.start(1, 2)
	require.True(t, a.guard.PromiseRequest(w.now, request(b, a, 1)).Granted)
	a.guard.Members(w.now, []instance.ID{a.id, other.id})
	require.False(t, a.guard.PromiseRequest(w.now, request(b, a, 2)).Granted)
	other.guard.Read(w.now, w.now, w.log.batch(0, w.log.end()))
	require.Empty(t, w.leaveInDoubt(other, a.id, other.id), "an owner that lives has to sponsor it")
	key := w.keyOf(b)
	b.guard.Members(w.now, []instance.ID{a.id, other.id})
	require.NotEqual(t, guard.Run, b.offer(key).Decision)
	require.False(t, b.guard.PromiseRequest(w.now, request(a, b, 1)).Granted)
}

// Guards against a second run after the memory of all owners is lost.
func TestRestartOfEverything(t *testing.T) {
	w := settled(3)
	key := w.keyOf(w.nodes[0])
	require.Equal(t, guard.Run, w.nodes[0].offer(key).Decision)
	w.run(time.Second)
	for i := range w.nodes {
		w.restart(i)
	}
	w.run(8 * time.Second)
	requireRefusal(t, w.nodes[0].offer(key), outcome.Unknown, outcome.Forgotten)
	require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
	require.Empty(t, w.faults)
}

// Guards against keys that stay refused for longer than 5 s after one server
// is lost on a healthy log.
func TestLostServer(t *testing.T) {
	w := settled(3)
	lost := w.nodes[1]
	lost.up = false
	w.run(5 * time.Second)
	for _, n := range []*node{w.nodes[0], w.nodes[2]} {
		require.Equal(t, guard.Run, n.offer(w.keyOf(n)).Decision)
	}
}

// Guards against an outage of the log that stops all calls, and against calls
// that run in it when an owner can't vouch for the table.
func TestLogDown(t *testing.T) {
	w := settled(3)
	w.log.down = true
	for range 30 {
		w.run(time.Second)
		require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
	}
	w.nodes[2].up = false
	w.run(3 * time.Second)
	require.Equal(t, outcome.NoLease, w.nodes[0].offer(w.keyOf(w.nodes[0])).Reason)
	w.log.down = false
	w.run(5 * time.Second)
	require.Equal(t, guard.Run, w.nodes[0].offer(w.keyOf(w.nodes[0])).Decision)
}

// Guards against an only owner that runs without the log although it has put
// out the others, who may be right. One that never had others goes on.
func TestOnlyOwner(t *testing.T) {
	for _, size := range []int{1, 2} {
		w := settled(size)
		a := w.nodes[0]
		a.blind = true
		w.run(5 * time.Second)
		a.cut, a.isolated = true, true
		w.run(5 * time.Second)
		require.Equal(t, size == 1, a.offer(w.keyOf(a)).Decision == guard.Run)
	}
}

// Guards against an owner without the log that keeps the others from changing
// the table by asking for promises for ever.
func TestRequesterDoesNotBlockChange(t *testing.T) {
	w := settled(3)
	w.nodes[1].cut, w.nodes[1].lag = true, 10*time.Second
	w.run(3 * time.Second)
	w.nodes[2].up = false
	w.run(6 * time.Second)
	owners, _ := w.nodes[0].guard.Owners()
	require.Equal(t, 2, owners.Len())
}

// Guards against a change that starts while a promise against it is in force.
func TestNoChangeDuringPromise(t *testing.T) {
	w := settled(2)
	a, b := w.nodes[0], w.nodes[1]
	require.True(t, a.guard.PromiseRequest(w.now, request(b, a, 1)).Granted)
	b.up = false
	end := w.log.end()
	w.run(lease.Duration)
	require.Equal(t, end, w.log.end())
	w.run(time.Second)
	require.Greater(t, w.log.end(), end)
}

// Guards against a resend that runs beside the first call, loses its answer or
// takes that of another request.
func TestResend(t *testing.T) {
	w := settled(1)
	a := w.nodes[0]
	key := w.keyOf(a)
	offer := message.Offer{Service: service, Customer: "quimper", Key: key, Content: 1, Remaining: time.Second}
	v := a.guard.Offer(w.now, &offer)
	require.Equal(t, guard.Run, v.Decision)
	require.Equal(t, guard.Wait, a.guard.Offer(w.now, &offer).Decision)
	answer := &message.Answer{Outcome: outcome.Complete, Status: 201}
	a.guard.Done(w.now, v.Ticket, answer, []byte("reserved"))
	a.guard.NotRun(w.now, v.Ticket)
	again := a.guard.Offer(w.now, &offer)
	require.Equal(t, guard.Replay, again.Decision)
	require.Equal(t, "reserved", string(again.Body))
	require.Equal(t, answer, again.Answer)
	for _, other := range []message.Offer{
		{Service: service, Customer: "brest", Key: key, Content: 1, Remaining: time.Second},
		{Service: service, Customer: "quimper", Key: key, Content: 2, Remaining: time.Second},
	} {
		requireRefusal(t, a.guard.Offer(w.now, &other), outcome.NotRun, outcome.Conflict)
	}
}

// Guards against a call at a node whose table is older than the caller's.
func TestNewerEpochOfCaller(t *testing.T) {
	w := settled(1)
	a := w.nodes[0]
	_, epoch := a.guard.Owners()
	offer := message.Offer{Service: service, Key: w.newKey(), Remaining: time.Second, Epoch: epoch + 1}
	v := a.guard.Offer(w.now, &offer)
	requireRefusal(t, v, outcome.NotRun, outcome.Epoch)
	require.Equal(t, epoch, v.Epoch)
}

// Guards against a key without a time of issue, whose age nobody can judge.
func TestKeyWithoutTime(t *testing.T) {
	w := settled(1)
	v := w.nodes[0].offer("5f0c1a52-7a55-4f0b-9a3e-2f4f2f0c9a11")
	requireRefusal(t, v, outcome.NotRun, outcome.Malformed)
}
