package keyring_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/papayapath/papayapath/pkg/customer"
	"github.com/papayapath/papayapath/pkg/keyring"
)

// Guards against a request that is counted for the customer of a similar key, or for any
// without a key.
func TestFind(t *testing.T) {
	one, two := customer.New("one"), customer.New("two")
	k, err := keyring.New(keyring.WithCustomer(one, "k1", "k2", "k1"), keyring.WithCustomer(two), keyring.WithCustomer(customer.New("three"), "k3"))
	require.NoError(t, err)
	require.Same(t, one, k.Find([]byte("k2")))
	for _, key := range []string{"", "k", "k11", "K1", "k4", "one"} {
		require.Nil(t, k.Find([]byte(key)), key)
	}
	require.Same(t, two, k.Customer("two"))
	require.Nil(t, k.Customer("k1"))
	require.Equal(t, 3, k.Len())
}

// Guards against a key of two customers, of which either could be charged, and against
// keys in the error, which is logged.
func TestContradictions(t *testing.T) {
	for _, options := range [][]keyring.Option{
		{keyring.WithCustomer(customer.New("one"), "secret"), keyring.WithCustomer(customer.New("two"), "secret")},
		{keyring.WithCustomer(customer.New("one"), "secret"), keyring.WithCustomer(customer.New("one"), "other")},
		{keyring.WithCustomer(customer.New("one"), "secret", "")},
	} {
		_, err := keyring.New(options...)
		var e *keyring.Error
		require.ErrorAs(t, err, &e)
		require.NotContains(t, err.Error(), "secret")
	}
}

// Guards against contradictions that are found one at a time.
func TestAllContradictionsAreTold(t *testing.T) {
	_, err := keyring.New(keyring.WithCustomer(customer.New("one"), "k1", "k2", ""), keyring.WithCustomer(customer.New("two"), "k1", "k2"), keyring.WithCustomer(customer.New("one")))
	require.Len(t, err.(interface{ Unwrap() []error }).Unwrap(), 4)
}
