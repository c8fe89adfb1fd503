package scenario_test

import (
	"testing"

	"github.com/papayapath/papayapath/internal/lab/scenario"
)

// Guards against broken promises in the failures that the scripts describe.
func TestScenarios(t *testing.T) { scenario.New("../../../scenarios").Run(t) }
