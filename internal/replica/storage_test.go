package replica

import (
	"io"
	"path"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem/memory"
)

// filesOf returns the content of every file under folder.
func filesOf(t *testing.T, disk *memory.Disk, folder string) map[string]string {
	t.Helper()
	content := make(map[string]string)
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	for _, name := range names {
		full := path.Join(folder, name)
		file, err := disk.Open(full)
		if err != nil {
			for inner, data := range filesOf(t, disk, full) {
				content[inner] = data
			}
			continue
		}
		data, err := io.ReadAll(file)
		require.NoError(t, err)
		content[full] = string(data)
	}
	return content
}

func firstOf(t *testing.T, disk *memory.Disk, folder string) string {
	t.Helper()
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	return path.Join(folder, names[0])
}

func lastOf(t *testing.T, disk *memory.Disk, folder string) string {
	t.Helper()
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	return path.Join(folder, names[len(names)-1])
}

// TestRefusedStarts damages a member's folder in each way and demands a
// numbered refusal that leaves every file as it was.
func TestRefusedStarts(t *testing.T) {
	cases := []struct {
		name   string
		damage func(*testing.T, *cluster)
		code   faults.Code
	}{
		{"log damaged in the middle", func(t *testing.T, cluster *cluster) {
			disk := cluster.members["a"].disk
			require.NoError(t, disk.Corrupt(firstOf(t, disk, walFolder), 100))
		}, faults.StorageDamaged},
		{"identity damaged", func(t *testing.T, cluster *cluster) {
			require.NoError(t, cluster.members["a"].disk.Corrupt(identityFile, 5))
		}, faults.StorageDamaged},
		{"snapshots damaged and the log compacted", func(t *testing.T, cluster *cluster) {
			disk := cluster.members["a"].disk
			names, err := disk.ReadDir(snapshotFolder)
			require.NoError(t, err)
			for _, name := range names {
				require.NoError(t, disk.Corrupt(path.Join(snapshotFolder, name), 50))
			}
		}, faults.StorageSnapshotDamaged},
		{"another node's disk", func(_ *testing.T, cluster *cluster) {
			cluster.members["a"].disk = cluster.members["b"].disk
			cluster.stop("b")
		}, faults.StorageForeign},
		{"another member's log", func(t *testing.T, cluster *cluster) {
			disk, other := cluster.members["a"].disk, cluster.members["b"].disk
			copyFolder(t, other, disk, walFolder)
		}, faults.StorageForeign},
		{"identity missing", func(t *testing.T, cluster *cluster) {
			require.NoError(t, cluster.members["a"].disk.Remove(identityFile))
		}, faults.StorageIncomplete},
		{"log missing", func(t *testing.T, cluster *cluster) {
			removeAll(t, cluster.members["a"].disk, walFolder)
		}, faults.StorageIncomplete},
	}
	for _, refused := range cases {
		t.Run(refused.name, func(t *testing.T) {
			cluster := newCluster(t, 21, "a", "b", "c")
			cluster.startAll()
			for range 300 {
				cluster.propose("change")
			}
			cluster.until(5*time.Second, "equal state", cluster.converged)
			cluster.stop("a")
			refused.damage(t, cluster)
			disk := cluster.members["a"].disk
			before := filesOf(t, disk, ".")
			cluster.start("a")
			require.Equal(t, refused.code, faults.CodeOf(cluster.members["a"].startFault), "%v", cluster.members["a"].startFault)
			require.Equal(t, before, filesOf(t, disk, "."))
		})
	}
}

func removeAll(t *testing.T, disk *memory.Disk, folder string) {
	t.Helper()
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	for _, name := range names {
		require.NoError(t, disk.Remove(path.Join(folder, name)))
	}
}

func copyFolder(t *testing.T, from, to *memory.Disk, folder string) {
	t.Helper()
	removeAll(t, to, folder)
	for name, content := range filesOf(t, from, folder) {
		file, err := to.Create(name)
		require.NoError(t, err)
		_, err = file.Write([]byte(content))
		require.NoError(t, err)
	}
}

// TestDamagedNewestSnapshotIsSurvived falls back to the older snapshot while
// the log reaches it.
func TestDamagedNewestSnapshotIsSurvived(t *testing.T) {
	cluster := newCluster(t, 22, "a")
	cluster.startAll()
	for range 180 {
		cluster.propose("change")
	}
	cluster.stop("a")
	disk := cluster.members["a"].disk
	require.NoError(t, disk.Corrupt(lastOf(t, disk, snapshotFolder), 50))
	cluster.start("a")
	require.NoError(t, cluster.members["a"].startFault)
	cluster.propose("last")
	require.Len(t, cluster.members["a"].machine.commands, 181)
}

// TestFullDiskSuspendsTheMember fills the leader's disk: it acknowledges
// nothing and sends nothing, the others go on, and once there is room again the
// same process takes part without a restart.
func TestFullDiskSuspendsTheMember(t *testing.T) {
	cluster := newCluster(t, 23, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	former := cluster.awaitLeader()
	former.disk.SetCapacity(1)
	var codes []faults.Code
	note := func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) }
	former.controller.Submit([]byte("not durable"), note)
	cluster.step()
	former.controller.Submit([]byte("while the disk is full"), note)
	cluster.step()
	require.Equal(t, []faults.Code{faults.ProposalOutcomeUnknown, faults.NotLeader}, codes)
	require.NoError(t, former.controller.Err())
	require.False(t, former.controller.StatusAt(cluster.now).Leading)
	require.Empty(t, former.mailbox.Outbox.Drain(), "a suspended member sends nothing")

	cluster.until(5*time.Second, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != former
	})
	cluster.propose("without the former leader")
	former.disk.SetCapacity(0)
	cluster.until(5*time.Second, "equal state", cluster.converged)
	require.Contains(t, former.machine.commands, "without the former leader")
}

// TestStorageFailureStopsTheMember fails the leader's disk: it acknowledges
// nothing more, and the others go on.
func TestStorageFailureStopsTheMember(t *testing.T) {
	cases := []struct {
		name string
		fail func(*memory.Disk)
		code faults.Code
	}{
		{"failed sync", func(disk *memory.Disk) { disk.FailSyncs(1) }, faults.StorageWriteFailed},
	}
	for _, failure := range cases {
		t.Run(failure.name, func(t *testing.T) {
			cluster := newCluster(t, 23, "a", "b", "c")
			cluster.startAll()
			cluster.propose("before")
			former := cluster.awaitLeader()
			failure.fail(former.disk)
			var codes []faults.Code
			note := func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) }
			former.controller.Submit([]byte("not durable"), note)
			cluster.step()
			former.disk.SetCapacity(0)
			former.controller.Submit([]byte("after the failure"), note)
			cluster.step()
			require.Equal(t, []faults.Code{faults.ProposalOutcomeUnknown, faults.MemberStopped}, codes)
			require.Equal(t, failure.code, faults.CodeOf(former.controller.Err()))
			require.False(t, former.controller.StatusAt(cluster.now).Leading)
			require.Empty(t, former.mailbox.Outbox.Drain(), "a stopped member sends nothing")

			cluster.until(5*time.Second, "another leader", func() bool {
				leader := cluster.leader()
				return leader != nil && leader != former
			})
			cluster.propose("without the former leader")
			cluster.crash(former.name)
			cluster.start(former.name)
			require.NoError(t, former.startFault)
			cluster.until(5*time.Second, "equal state", cluster.converged)
		})
	}
}

// TestLongDownMemberCatchesUpBySnapshot stops a member until the others' logs
// no longer reach back to it.
func TestLongDownMemberCatchesUpBySnapshot(t *testing.T) {
	cluster := newCluster(t, 24, "a", "b", "c")
	cluster.startAll()
	cluster.propose("first")
	cluster.until(5*time.Second, "equal state", cluster.converged)
	down := cluster.names[0]
	if down == cluster.awaitLeader().name {
		down = cluster.names[1]
	}
	cluster.crash(down)
	for range 300 {
		cluster.propose("while it is down")
	}
	require.Greater(t, cluster.awaitLeader().controller.core.Status(cluster.now).FirstIndex, uint64(100))
	cluster.network.drop = 0.1
	cluster.start(down)
	cluster.until(20*time.Second, "equal state", cluster.converged)
	cluster.network.drop = 0
	// The installed snapshot and the log after it survive another crash.
	cluster.propose("after the snapshot")
	cluster.until(5*time.Second, "equal state", cluster.converged)
	cluster.crash(down)
	cluster.start(down)
	require.NoError(t, cluster.members[down].startFault)
	cluster.until(5*time.Second, "equal state", cluster.converged)
	require.Len(t, cluster.members[down].machine.commands, 302)
}

// TestLostTailIsNoticed damages the last record, which a member cannot tell
// from a torn one, after it was acknowledged.
func TestLostTailIsNoticed(t *testing.T) {
	cluster := newCluster(t, 25, "a", "b", "c")
	cluster.startAll()
	for range 5 {
		cluster.propose("change")
	}
	cluster.until(5*time.Second, "equal state", cluster.converged)
	cluster.run(time.Second)
	damaged := cluster.names[0]
	if damaged == cluster.awaitLeader().name {
		damaged = cluster.names[1]
	}
	cluster.stop(damaged)
	disk := cluster.members[damaged].disk
	name := lastOf(t, disk, walFolder)
	size, err := disk.Size(name)
	require.NoError(t, err)
	require.NoError(t, disk.Corrupt(name, size-1))
	cluster.start(damaged)
	require.NoError(t, cluster.members[damaged].startFault)
	cluster.until(5*time.Second, "the member to notice", func() bool {
		return faults.CodeOf(cluster.members[damaged].controller.Err()) == faults.StorageLostEntries
	})
}

// TestOneSyncCarriesManyProposals is the group commit.
func TestOneSyncCarriesManyProposals(t *testing.T) {
	cluster := newCluster(t, 26, "a")
	cluster.startAll()
	leader := cluster.awaitLeader()
	cluster.run(100 * time.Millisecond)
	before := leader.disk.Syncs()
	answered := 0
	for range 40 {
		leader.controller.Submit([]byte("change"), func(_ []byte, err error) {
			require.NoError(t, err)
			answered++
		})
	}
	cluster.step()
	require.Equal(t, 40, answered)
	require.Equal(t, 1, leader.disk.Syncs()-before)
}

// TestTooLargeCommandIsRefused bounds one command.
func TestTooLargeCommandIsRefused(t *testing.T) {
	cluster := newCluster(t, 27, "a")
	cluster.options = func(options *Options) { options.MaxCommandBytes = 10 }
	cluster.startAll()
	var fault error
	cluster.awaitLeader().controller.Submit(make([]byte, 11), func(_ []byte, err error) { fault = err })
	cluster.step()
	require.Equal(t, faults.CommandTooLarge, faults.CodeOf(fault))
}
