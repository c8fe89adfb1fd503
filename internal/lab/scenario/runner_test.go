package scenario_test

import (
	"testing"

	"github.com/papayapath/papayapath/internal/lab/scenario"
)

// Guards against violated delivery guarantees and insufficient goodput under the
// failures that the scripts inject.
func TestScenarios(t *testing.T) { scenario.New("../../../scenarios").Run(t) }
