package replica

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/protocol"
)

// BenchmarkCommits compares group commit with one sync per commit, with the same
// number of callers, on the same disk and with the same group size, in one run.
func BenchmarkCommits(b *testing.B) {
	for _, members := range []int{1, 3} {
		for _, variant := range []struct {
			name  string
			limit int
		}{{"group_commit", 0}, {"one_sync_per_commit", 1}} {
			b.Run(fmt.Sprintf("members=%d/%s", members, variant.name), func(b *testing.B) {
				benchmarkCommits(b, members, variant.limit)
			})
		}
	}
}

// benchmarkCallers is the number of concurrent callers per processor.
const benchmarkCallers = 64

func benchmarkCommits(b *testing.B, members, limit int) {
	root := b.TempDir()
	options := Options{
		ElectionTimeout:     time.Second,
		HeartbeatInterval:   100 * time.Millisecond,
		SnapshotEvery:       1 << 30,
		MaxProposalsPerSync: limit,
	}
	var names []nodeName
	for position := range members {
		names = append(names, nodeName(fmt.Sprintf("control-%d", position+1)))
	}
	group := startNodes(b, options, func(name nodeName) filesystem.FileSystem {
		folder, err := disk.Open(filepath.Join(root, string(name)))
		require.NoError(b, err)
		b.Cleanup(func() { _ = folder.Close() })
		return folder
	}, names...)
	defer group.stop()
	_, leader := group.awaitLeader(b)
	command := bytes.Repeat([]byte("x"), 200)
	var failures atomic.Int64
	b.SetParallelism(benchmarkCallers)
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			if _, err := leader.Propose(b.Context(), command); err != nil {
				failures.Add(1)
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	require.Zero(b, failures.Load())
}

// BenchmarkReadBarrier measures a read barrier, which a heartbeat round confirms.
func BenchmarkReadBarrier(b *testing.B) {
	group := startNodes(b, nodeOptions, memoryFiles, "a", "b", "c")
	defer group.stop()
	_, leader := group.awaitLeader(b)
	for b.Loop() {
		require.NoError(b, leader.ReadBarrier(b.Context()))
	}
}

// registers is a state machine of bounded size: command n sets register
// n modulo registerCount.
type registers struct {
	count  uint64
	values map[uint64][]byte
}

const registerCount = 1000

func (registers *registers) Apply(_ revision, _ time.Time, command []byte) []byte {
	if registers.values == nil {
		registers.values = make(map[uint64][]byte)
	}
	registers.values[registers.count%registerCount] = command
	registers.count++
	return nil
}

func (registers *registers) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(registers.values)
	return buffer.Bytes(), err
}

func (registers *registers) Restore(data []byte) error {
	return gob.NewDecoder(bytes.NewReader(data)).Decode(&registers.values)
}

func (registers *registers) Digest() uint64 { return registers.count }

// BenchmarkRecovery measures a restart after 10,000 changes of 200 bytes, with
// and without snapshots.
func BenchmarkRecovery(b *testing.B) {
	const changes = 10_000
	for _, variant := range []struct {
		name  string
		every int
	}{{"with_snapshot", 1000}, {"without_snapshot", 1 << 30}} {
		b.Run(variant.name, func(b *testing.B) {
			root := b.TempDir()
			options := Options{
				Self:              "a",
				Members:           []nodeName{"a"},
				ElectionTimeout:   time.Second,
				HeartbeatInterval: 100 * time.Millisecond,
				SnapshotEvery:     variant.every,
				SegmentBytes:      1 << 18,
			}
			writeChanges(b, root, options, changes)
			size := folderBytes(b, root)
			for b.Loop() {
				recoverOnce(b, root, options)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func openMember(b *testing.B, root string, options Options) (*Controller, *disk.Folder) {
	files, err := disk.Open(root)
	require.NoError(b, err)
	mailbox := protocol.NewMailbox("a")
	controller, err := NewController(options, files, mailbox, protocol.NewDispatcher(mailbox), &registers{})
	require.NoError(b, err)
	return controller, files
}

func writeChanges(b *testing.B, root string, options Options, changes int) {
	controller, files := openMember(b, root, options)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	committed := 0
	for committed < changes {
		now = now.Add(options.HeartbeatInterval)
		for range 100 {
			controller.Submit(bytes.Repeat([]byte("x"), 200), func(_ []byte, err error) {
				if err == nil {
					committed++
				}
			})
		}
		controller.Reconcile(now)
	}
	controller.Stop()
	require.NoError(b, files.Close())
}

// recoverOnce starts the member, runs it until it leads and has applied its whole
// log, and stops it.
func recoverOnce(b *testing.B, root string, options Options) {
	controller, files := openMember(b, root, options)
	now := time.Date(2026, 1, 2, 0, 0, 0, 0, time.UTC)
	for controller.StatusAt(now).Applied < 10_000 {
		now = now.Add(options.ElectionTimeout)
		controller.Reconcile(now)
	}
	controller.Stop()
	require.NoError(b, files.Close())
}

func folderBytes(b *testing.B, root string) int64 {
	total := int64(0)
	require.NoError(b, filepath.WalkDir(root, func(_ string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		information, err := entry.Info()
		total += information.Size()
		return err
	}))
	return total
}
