package experiment

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Concurrent runs must never share addresses, and a network must be free again
// after its run.
func TestReservedNetworksDiffer(t *testing.T) {
	first, err := reserveNetwork()
	require.NoError(t, err)
	second, err := reserveNetwork()
	require.NoError(t, err)
	defer second.release()
	require.NotEqual(t, first.network, second.network)
	first.release()
	third, err := reserveNetwork()
	require.NoError(t, err)
	defer third.release()
	require.NotEqual(t, second.network, third.network)
}
