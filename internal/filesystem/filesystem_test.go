package filesystem_test

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/filesystem"
	"merlinpaddle/internal/filesystem/disk"
	"merlinpaddle/internal/filesystem/memory"
)

// implementations returns an empty file system of each implementation by its name.
func implementations(t *testing.T) map[string]filesystem.FileSystem {
	t.Helper()
	folder, err := disk.Open(t.TempDir())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, folder.Close()) })
	return map[string]filesystem.FileSystem{"disk": folder, "memory": memory.New(1)}
}

// create creates a file with the given content and syncs it.
func create(t *testing.T, files filesystem.FileSystem, name, content string) {
	t.Helper()
	file, err := files.Create(name)
	require.NoError(t, err)
	_, err = file.Write([]byte(content))
	require.NoError(t, err)
	require.NoError(t, file.Sync())
	require.NoError(t, file.Close())
}

// content returns the content of a file.
func content(t *testing.T, files filesystem.FileSystem, name string) string {
	t.Helper()
	file, err := files.Open(name)
	require.NoError(t, err)
	data, err := io.ReadAll(file)
	require.NoError(t, err)
	require.NoError(t, file.Close())
	return string(data)
}

// TestContract runs the same cases on every implementation of filesystem.FileSystem.
func TestContract(t *testing.T) {
	cases := []struct {
		name string
		run  func(*testing.T, filesystem.FileSystem)
	}{
		{"a created file is read back", func(t *testing.T, files filesystem.FileSystem) {
			create(t, files, "a", "content")
			require.Equal(t, "content", content(t, files, "a"))
		}},
		{"create refuses an existing file", func(t *testing.T, files filesystem.FileSystem) {
			create(t, files, "a", "first")
			_, err := files.Create("a")
			require.ErrorIs(t, err, fs.ErrExist)
			require.Equal(t, "first", content(t, files, "a"))
		}},
		{"missing files and folders are reported as such", func(t *testing.T, files filesystem.FileSystem) {
			_, err := files.Open("missing")
			require.ErrorIs(t, err, fs.ErrNotExist)
			_, err = files.OpenWrite("missing")
			require.ErrorIs(t, err, fs.ErrNotExist)
			_, err = files.ReadDir("missing")
			require.ErrorIs(t, err, fs.ErrNotExist)
			require.ErrorIs(t, files.Remove("missing"), fs.ErrNotExist)
			require.ErrorIs(t, files.Rename("missing", "b"), fs.ErrNotExist)
			_, err = files.Create("missing/file")
			require.ErrorIs(t, err, fs.ErrNotExist)
		}},
		{"rename replaces an existing file", func(t *testing.T, files filesystem.FileSystem) {
			create(t, files, "a", "old")
			create(t, files, "b", "new")
			require.NoError(t, files.Rename("b", "a"))
			require.NoError(t, files.SyncDir("."))
			require.Equal(t, "new", content(t, files, "a"))
			_, err := files.Open("b")
			require.ErrorIs(t, err, fs.ErrNotExist)
		}},
		{"seek, truncate and overwrite", func(t *testing.T, files filesystem.FileSystem) {
			create(t, files, "a", "0123456789")
			file, err := files.OpenWrite("a")
			require.NoError(t, err)
			require.NoError(t, file.Truncate(4))
			_, err = file.Seek(2, io.SeekStart)
			require.NoError(t, err)
			_, err = file.Write([]byte("abcd"))
			require.NoError(t, err)
			end, err := file.Seek(0, io.SeekEnd)
			require.NoError(t, err)
			require.Equal(t, int64(6), end)
			require.NoError(t, file.Close())
			require.Equal(t, "01abcd", content(t, files, "a"))
		}},
		{"folders list sorted names", func(t *testing.T, files filesystem.FileSystem) {
			require.NoError(t, files.MkdirAll("one/two"))
			create(t, files, "one/b", "")
			create(t, files, "one/a", "")
			names, err := files.ReadDir("one")
			require.NoError(t, err)
			require.Equal(t, []string{"a", "b", "two"}, names)
		}},
		{"a file opened for reading cannot be written", func(t *testing.T, files filesystem.FileSystem) {
			create(t, files, "a", "content")
			file, err := files.Open("a")
			require.NoError(t, err)
			_, err = file.Write([]byte("x"))
			require.Error(t, err)
			require.NoError(t, file.Close())
			require.Equal(t, "content", content(t, files, "a"))
		}},
	}
	for _, contract := range cases {
		t.Run(contract.name, func(t *testing.T) {
			for name, files := range implementations(t) {
				t.Run(name, func(t *testing.T) { contract.run(t, files) })
			}
		})
	}
}

func TestSecondOpenOfAFolderIsRefused(t *testing.T) {
	root := t.TempDir()
	first, err := disk.Open(root)
	require.NoError(t, err)
	_, err = disk.Open(root)
	require.Equal(t, faults.StorageLocked, faults.CodeOf(err))
	require.NoError(t, first.Close())
	again, err := disk.Open(root)
	require.NoError(t, err)
	require.NoError(t, again.Close())
}

func TestReadOnlyFolderChangesNothing(t *testing.T) {
	root := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(root, "a"), []byte("content"), 0o600))
	folder, err := disk.OpenReadOnly(root)
	require.NoError(t, err)
	require.Equal(t, "content", content(t, folder, "a"))
	_, err = folder.Create("b")
	require.Error(t, err)
	_, err = folder.OpenWrite("a")
	require.Error(t, err)
	require.Error(t, folder.Rename("a", "b"))
	require.Error(t, folder.Remove("a"))
	require.Error(t, folder.MkdirAll("c"))
	require.Error(t, folder.SyncDir("."))
	require.NoError(t, folder.Close())
	names, err := folder.ReadDir(".")
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, names)
}

func TestUnusableFoldersAreRefused(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err := disk.Open(filepath.Join(file, "below"))
	require.Equal(t, faults.StorageUnusable, faults.CodeOf(err))
	_, err = disk.OpenReadOnly(file)
	require.Equal(t, faults.StorageUnusable, faults.CodeOf(err))
	_, err = disk.OpenReadOnly(file + "-missing")
	require.Equal(t, faults.StorageUnusable, faults.CodeOf(err))
}

// TestCrashLosesOnlyUnsyncedWrites crashes after a synced and an unsynced write to a file. The synced
// bytes must remain, and the unsynced ones are torn on some seeds.
func TestCrashLosesOnlyUnsyncedWrites(t *testing.T) {
	torn := 0
	for seed := range uint64(200) {
		files := memory.New(seed)
		create(t, files, "a", "synced")
		require.NoError(t, files.SyncDir("."))
		file, err := files.OpenWrite("a")
		require.NoError(t, err)
		_, err = file.Seek(0, io.SeekEnd)
		require.NoError(t, err)
		_, err = file.Write([]byte(" and not synced"))
		require.NoError(t, err)
		files.Crash()
		_, err = file.Write([]byte("late"))
		require.True(t, errors.Is(err, memory.ErrCrashed))
		found := content(t, files, "a")
		require.Equal(t, "synced", found[:6])
		if found != "synced" && found != "synced and not synced" {
			torn++
		}
	}
	require.Positive(t, torn, "at least one seed must tear the unsynced write")
}

func TestCrashMayLoseUnsyncedNames(t *testing.T) {
	lost := 0
	for seed := range uint64(50) {
		files := memory.New(seed)
		create(t, files, "a", "content")
		files.Crash()
		if _, err := files.Open("a"); err != nil {
			lost++
		}
	}
	require.Positive(t, lost)
	require.Less(t, lost, 50)
}

func TestFailedSyncDiscardsItsWrites(t *testing.T) {
	files := memory.New(1)
	create(t, files, "a", "synced")
	require.NoError(t, files.SyncDir("."))
	file, err := files.OpenWrite("a")
	require.NoError(t, err)
	_, err = file.Write([]byte("SYNCED"))
	require.NoError(t, err)
	files.FailSyncs(1)
	require.Error(t, file.Sync())
	require.NoError(t, file.Sync())
	files.Crash()
	require.Equal(t, "synced", content(t, files, "a"))
}

func TestFullDiskWritesOnlyWhatFits(t *testing.T) {
	files := memory.New(1)
	files.SetCapacity(4)
	file, err := files.Create("a")
	require.NoError(t, err)
	count, err := file.Write([]byte("123456"))
	require.Error(t, err)
	require.Equal(t, 4, count)
	files.SetCapacity(0)
	_, err = file.Write([]byte("56"))
	require.NoError(t, err)
	require.Equal(t, "123456", content(t, files, "a"))
}

func TestWipeLosesEverything(t *testing.T) {
	files := memory.New(1)
	create(t, files, "a", "content")
	require.NoError(t, files.SyncDir("."))
	files.Wipe()
	names, err := files.ReadDir(".")
	require.NoError(t, err)
	require.Empty(t, names)
}
