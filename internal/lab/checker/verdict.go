package checker

import (
	"time"

	"github.com/papayapath/papayapath/internal/lab/answer"
	"github.com/papayapath/papayapath/internal/lab/history"
	"github.com/papayapath/papayapath/pkg/importance"
)

// inversionWindow is the time before a refusal of a Critical call in which
// runs of lower importance count as an inversion (section 8 of the design).
const inversionWindow = 100 * time.Millisecond

// Verdict holds the counts of violations. All of them must be zero.
type Verdict struct {
	Duplicates int // runs of a non-repeatable call beyond the first
	Partials   int // incomplete or corrupted responses delivered as complete
	Foreign    int // responses to another request delivered as complete
	Falsehoods int // attempts that ran although they were reported as not run
	Inversions int // Critical calls refused while the service admitted or ran calls of lower importance
}

// New returns the verdict on a completed experiment.
func New(h *history.History) Verdict {
	runs := h.Runs()
	return Verdict{
		Duplicates: duplicates(runs),
		Partials:   h.VerdictCount(answer.Partial),
		Foreign:    h.VerdictCount(answer.Foreign),
		Falsehoods: falsehoods(runs, h.Reports()),
		Inversions: inversions(runs, h.Refusals(), h.Importances()),
	}
}

// runKey identifies a non-repeatable call.
type runKey struct{ service, key string }

func duplicates(runs []history.Run) int {
	count := 0
	seen := make(map[runKey]bool)
	for _, r := range runs {
		if r.WorkKey == "" {
			continue
		}
		w := runKey{service: r.Service, key: r.WorkKey}
		if seen[w] {
			count++
		}
		seen[w] = true
	}
	return count
}

// attemptKey identifies one attempt of a customer request.
type attemptKey struct {
	root    string
	attempt int
	service string
}

// falsehoods counts the attempts that were reported as not run although the
// called service started to run them. If a node answers a retry from the run
// of an earlier attempt, the run counts for the earlier attempt.
func falsehoods(runs []history.Run, claims []history.Report) int {
	ran := make(map[attemptKey]bool)
	for _, r := range runs {
		ran[attemptKey{root: r.Root, attempt: r.Attempt, service: r.Service}] = true
	}
	count := 0
	for _, c := range claims {
		if c.NotRun && ran[attemptKey{root: c.Root, attempt: c.Attempt, service: c.Service}] {
			count++
		}
	}
	return count
}

// inversions counts the refusals of Critical requests for which a run of lower
// importance overlaps the window before the refusal. Requests of unknown
// importance count as Critical.
func inversions(runs []history.Run, refusals []history.Refusal, levels map[string]importance.Level) int {
	lower := make(map[string][]history.Run)
	for _, r := range runs {
		if level, known := levels[r.Root]; known && level < importance.Critical {
			lower[r.Service] = append(lower[r.Service], r)
		}
	}
	count := 0
	for _, r := range refusals {
		if levels[r.Root] == importance.Critical && overlaps(lower[r.Service], r.At) {
			count++
		}
	}
	return count
}

// overlaps reports whether any run overlaps the window that ends at a refusal.
func overlaps(runs []history.Run, refused time.Time) bool {
	begin := refused.Add(-inversionWindow)
	for _, r := range runs {
		if r.Start.After(refused) {
			continue
		}
		if r.End.IsZero() || r.End.After(begin) {
			return true
		}
	}
	return false
}
