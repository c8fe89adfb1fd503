package fault_test

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/internal/fault"
)

func TestCall(t *testing.T) {
	v, err := fault.Call(func() (int, error) { return 7, nil })
	require.NoError(t, err)
	require.Equal(t, 7, v)

	expected := errors.New("x")
	_, err = fault.Call(func() (int, error) { return 0, expected })
	require.ErrorIs(t, err, expected)

	_, err = fault.Call(func() (int, error) {
		var empty []int
		return empty[len(empty)], nil
	})
	var p *fault.PanicError
	require.ErrorAs(t, err, &p)
	require.ErrorContains(t, err, "index out of range")
	require.ErrorContains(t, err, "fault_test.go")
}
