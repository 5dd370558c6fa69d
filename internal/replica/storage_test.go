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

// folderContent returns the content of every file under folder, by path.
func folderContent(t *testing.T, disk *memory.Disk, folder string) map[string]string {
	t.Helper()
	content := make(map[string]string)
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	for _, name := range names {
		full := path.Join(folder, name)
		file, err := disk.Open(full)
		if err != nil {
			for inner, data := range folderContent(t, disk, full) {
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

func firstFile(t *testing.T, disk *memory.Disk, folder string) string {
	t.Helper()
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	return path.Join(folder, names[0])
}

func lastFile(t *testing.T, disk *memory.Disk, folder string) string {
	t.Helper()
	names, err := disk.ReadDir(folder)
	require.NoError(t, err)
	return path.Join(folder, names[len(names)-1])
}

// TestStartIsRefusedOnDamagedFolder damages a member's data folder in several ways
// and checks that the start fails with the right fault code and changes no file.
func TestStartIsRefusedOnDamagedFolder(t *testing.T) {
	cases := []struct {
		name   string
		damage func(*testing.T, *cluster)
		code   faults.Code
	}{
		{"log damaged in the middle", func(t *testing.T, cluster *cluster) {
			disk := cluster.members["a"].disk
			require.NoError(t, disk.Corrupt(firstFile(t, disk, walFolder), 100))
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
			cluster.runUntil(5*time.Second, "equal state", cluster.converged)
			cluster.stop("a")
			refused.damage(t, cluster)
			disk := cluster.members["a"].disk
			before := folderContent(t, disk, ".")
			cluster.start("a")
			require.Equal(t, refused.code, faults.CodeOf(cluster.members["a"].startErr), "%v", cluster.members["a"].startErr)
			require.Equal(t, before, folderContent(t, disk, "."))
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
	for name, content := range folderContent(t, from, folder) {
		file, err := to.Create(name)
		require.NoError(t, err)
		_, err = file.Write([]byte(content))
		require.NoError(t, err)
	}
}

// TestDamagedLatestSnapshotFallsBackToPrevious checks that a member whose latest
// snapshot is damaged restores the previous one and replays the log kept after it.
func TestDamagedLatestSnapshotFallsBackToPrevious(t *testing.T) {
	cluster := newCluster(t, 22, "a")
	cluster.startAll()
	for range 180 {
		cluster.propose("change")
	}
	cluster.stop("a")
	disk := cluster.members["a"].disk
	require.NoError(t, disk.Corrupt(lastFile(t, disk, snapshotFolder), 50))
	cluster.start("a")
	require.NoError(t, cluster.members["a"].startErr)
	cluster.propose("last")
	require.Len(t, cluster.members["a"].machine.commands, 181)
}

// TestFullDiskSuspendsTheMember fills the leader's disk. The leader must
// acknowledge and send nothing while the others elect a new leader and continue.
// Once there is space again, the same process rejoins without a restart.
func TestFullDiskSuspendsTheMember(t *testing.T) {
	cluster := newCluster(t, 23, "a", "b", "c")
	cluster.startAll()
	cluster.propose("before")
	previousLeader := cluster.awaitLeader()
	previousLeader.disk.SetCapacity(1)
	var codes []faults.Code
	record := func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) }
	previousLeader.controller.Submit([]byte("not durable"), record)
	cluster.step()
	previousLeader.controller.Submit([]byte("while the disk is full"), record)
	cluster.step()
	require.Equal(t, []faults.Code{faults.ProposalOutcomeUnknown, faults.NotLeader}, codes)
	require.NoError(t, previousLeader.controller.Err())
	require.False(t, previousLeader.controller.StatusAt(cluster.now).Leading)
	require.Empty(t, previousLeader.mailbox.Outbox.Drain(), "a suspended member sends nothing")

	cluster.runUntil(5*time.Second, "another leader", func() bool {
		leader := cluster.leader()
		return leader != nil && leader != previousLeader
	})
	cluster.propose("without the previous leader")
	previousLeader.disk.SetCapacity(0)
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	require.Contains(t, previousLeader.machine.commands, "without the previous leader")
}

// TestStorageFailureStopsTheMember makes the leader's disk fail. The leader must
// stop and acknowledge nothing more while the others continue.
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
			previousLeader := cluster.awaitLeader()
			failure.fail(previousLeader.disk)
			var codes []faults.Code
			record := func(_ []byte, err error) { codes = append(codes, faults.CodeOf(err)) }
			previousLeader.controller.Submit([]byte("not durable"), record)
			cluster.step()
			previousLeader.disk.SetCapacity(0)
			previousLeader.controller.Submit([]byte("after the failure"), record)
			cluster.step()
			require.Equal(t, []faults.Code{faults.ProposalOutcomeUnknown, faults.MemberStopped}, codes)
			require.Equal(t, failure.code, faults.CodeOf(previousLeader.controller.Err()))
			require.False(t, previousLeader.controller.StatusAt(cluster.now).Leading)
			require.Empty(t, previousLeader.mailbox.Outbox.Drain(), "a stopped member sends nothing")

			cluster.runUntil(5*time.Second, "another leader", func() bool {
				leader := cluster.leader()
				return leader != nil && leader != previousLeader
			})
			cluster.propose("without the previous leader")
			cluster.crash(previousLeader.name)
			cluster.start(previousLeader.name)
			require.NoError(t, previousLeader.startErr)
			cluster.runUntil(5*time.Second, "equal state", cluster.converged)
		})
	}
}

// TestLongDownMemberCatchesUpBySnapshot keeps a member down until the other
// members' logs no longer have the entries it needs.
func TestLongDownMemberCatchesUpBySnapshot(t *testing.T) {
	cluster := newCluster(t, 24, "a", "b", "c")
	cluster.startAll()
	cluster.propose("first")
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
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
	cluster.runUntil(20*time.Second, "equal state", cluster.converged)
	cluster.network.drop = 0
	// The installed snapshot and the log after it survive another crash.
	cluster.propose("after the snapshot")
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	cluster.crash(down)
	cluster.start(down)
	require.NoError(t, cluster.members[down].startErr)
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	require.Len(t, cluster.members[down].machine.commands, 302)
}

// TestLostTailIsDetected damages the last log record after its entry was
// acknowledged. The member cannot distinguish it from a torn write and starts, so
// it must detect the loss when the leader sends its commit index.
func TestLostTailIsDetected(t *testing.T) {
	cluster := newCluster(t, 25, "a", "b", "c")
	cluster.startAll()
	for range 5 {
		cluster.propose("change")
	}
	cluster.runUntil(5*time.Second, "equal state", cluster.converged)
	cluster.run(time.Second)
	damaged := cluster.names[0]
	if damaged == cluster.awaitLeader().name {
		damaged = cluster.names[1]
	}
	cluster.stop(damaged)
	disk := cluster.members[damaged].disk
	name := lastFile(t, disk, walFolder)
	size, err := disk.Size(name)
	require.NoError(t, err)
	require.NoError(t, disk.Corrupt(name, size-1))
	cluster.start(damaged)
	require.NoError(t, cluster.members[damaged].startErr)
	cluster.runUntil(5*time.Second, "the member to detect the loss", func() bool {
		return faults.CodeOf(cluster.members[damaged].controller.Err()) == faults.StorageLostEntries
	})
}

// TestProposalsShareOneSync tests group commit: proposals that wait together are
// made durable with one sync.
func TestProposalsShareOneSync(t *testing.T) {
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

// TestTooLargeCommandIsRefused checks that a command larger than MaxCommandBytes is
// refused.
func TestTooLargeCommandIsRefused(t *testing.T) {
	cluster := newCluster(t, 27, "a")
	cluster.adjustOptions = func(options *Options) { options.MaxCommandBytes = 10 }
	cluster.startAll()
	var fault error
	cluster.awaitLeader().controller.Submit(make([]byte, 11), func(_ []byte, err error) { fault = err })
	cluster.step()
	require.Equal(t, faults.CommandTooLarge, faults.CodeOf(fault))
}
