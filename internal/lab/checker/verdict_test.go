package checker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/checker"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/internal/lab/wire"
	"github.com/papayapath/papayapath/pkg/importance"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// run adds a run to h and ends it unless end is negative.
func run(h *history.History, service, root, work string, attempt, start, end int) {
	n := h.Start(history.Run{
		Identity: wire.Identity{Root: root, WorkKey: work, Attempt: attempt}, Service: service, Start: at(start),
	})
	if end >= 0 {
		h.End(n, at(end))
	}
}

// Each case contains one violation, or a similar permitted schedule. Guards
// against a checker that misses a violation or counts a permitted schedule.
func TestPlantedFaults(t *testing.T) {
	for name, c := range map[string]struct {
		record func(h *history.History)
		want   checker.Verdict
	}{
		"second run of a key": {func(h *history.History) {
			run(h, "reservations", "r1", "k1", 1, 0, 5)
			run(h, "reservations", "r1", "k1", 2, 9, 12)
		}, checker.Verdict{Duplicates: 1}},
		"second run that was canceled": {func(h *history.History) {
			run(h, "reservations", "r1", "k1", 1, 0, -1)
			run(h, "reservations", "r1", "k1", 1, 0, -1)
		}, checker.Verdict{Duplicates: 1}},
		"same key at two services, and repeatable runs": {func(h *history.History) {
			run(h, "reservations", "r1", "k1", 1, 0, 5)
			run(h, "certify", "r1", "k1", 1, 0, 5)
			run(h, "calendars", "r1", "", 1, 0, 5)
			run(h, "calendars", "r1", "", 1, 0, 5)
		}, checker.Verdict{}},
		"partial and foreign answers": {func(h *history.History) {
			h.RecordVerdict(answer.Partial)
			h.RecordVerdict(answer.Foreign)
			h.RecordVerdict(answer.Complete)
		}, checker.Verdict{Partials: 1, Foreign: 1}},
		"reported as notrun but run": {func(h *history.History) {
			run(h, "reservations", "r1", "k1", 2, 0, 5)
			h.Report(history.Report{Root: "r1", Attempt: 2, Service: "reservations", NotRun: true})
		}, checker.Verdict{Falsehoods: 1}},
		"retry reported as notrun, and run reported as unknown": {func(h *history.History) {
			run(h, "reservations", "r1", "k1", 1, 0, 5)
			h.Report(history.Report{Root: "r1", Attempt: 1, Service: "reservations"})
			h.Report(history.Report{Root: "r1", Attempt: 2, Service: "reservations", NotRun: true})
		}, checker.Verdict{}},
		"critical refused while lower work runs": {func(h *history.History) {
			run(h, "calendars", "low", "", 1, 0, -1)
			h.RecordRefusal(history.Refusal{Root: "critical", Service: "calendars", At: at(900)})
		}, checker.Verdict{Inversions: 1}},
		"critical refused just after lower work": {func(h *history.History) {
			run(h, "calendars", "low", "", 1, 0, 50)
			h.RecordRefusal(history.Refusal{Root: "critical", Service: "calendars", At: at(149)})
		}, checker.Verdict{Inversions: 1}},
		"lower work too early, too late, elsewhere or critical": {func(h *history.History) {
			run(h, "calendars", "low", "", 1, 0, 50)
			run(h, "calendars", "low", "", 1, 151, 160)
			run(h, "proofs", "low", "", 1, 100, 200)
			run(h, "calendars", "critical", "", 1, 100, 200)
			h.RecordRefusal(history.Refusal{Root: "critical", Service: "calendars", At: at(150)})
			h.RecordRefusal(history.Refusal{Root: "low", Service: "calendars", At: at(40)})
		}, checker.Verdict{}},
	} {
		h := history.New()
		h.RecordImportance("critical", importance.Critical)
		h.RecordImportance("low", importance.High)
		c.record(h)
		require.Equal(t, c.want, checker.New(h), name)
	}
}
