package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestThreeMembersCommitAndConverge(t *testing.T) {
	cluster := newCluster(t, 1, "a", "b", "c")
	cluster.startAll()
	for number := range 20 {
		cluster.propose(fmt.Sprintf("change-%d", number))
	}
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	require.Len(t, cluster.members["a"].machine.commands, 20)
}

func TestRestartAfterManyChangesAgrees(t *testing.T) {
	cluster := newCluster(t, 2, "a", "b", "c")
	cluster.startAll()
	for number := range 500 {
		cluster.propose(fmt.Sprintf("change-%d", number))
	}
	for _, name := range cluster.names {
		cluster.crash(name)
		cluster.start(name)
		require.NoError(t, cluster.members[name].startErr)
	}
	cluster.propose("after restart")
	cluster.runUntil(10*time.Second, "equal state", cluster.converged)
	require.Len(t, cluster.members["a"].machine.commands, 501)
}
