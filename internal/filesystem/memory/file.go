package memory

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"syscall"
)

// sectorBytes is the size of the parts of a torn write that reach a disk or are lost as a whole.
const sectorBytes = 512

// inode is the content of a file, independent of its name.
type inode struct {
	// current is the content that processes read.
	current []byte
	// synced is the content on the disk, without the pending changes. A crash applies some of these,
	// entirely or in part.
	synced []byte
	// pending holds the changes since the last sync, in order.
	pending []pendingWrite
}

// pendingWrite is one unsynced write or truncation.
type pendingWrite struct {
	offset int64
	data   []byte
	// truncate means that the file's length is set to offset; data is then empty.
	truncate bool
}

// crash keeps, loses or tears each pending write, as random chooses.
func (file *inode) crash(random *rand.Rand) {
	for _, write := range file.pending {
		switch random.IntN(4) {
		case 0:
			continue
		case 1:
			file.synced = applyWrite(file.synced, write)
		case 2:
			file.synced = applyPrefix(file.synced, write, random)
		case 3:
			file.synced = applySectors(file.synced, write, random)
		}
	}
	file.pending = nil
	file.current = append([]byte(nil), file.synced...)
}

// applyWrite applies write to content, possibly in place, and returns the result.
func applyWrite(content []byte, write pendingWrite) []byte {
	if write.truncate {
		return resize(content, write.offset)
	}
	end := write.offset + int64(len(write.data))
	if int64(len(content)) < end {
		content = resize(content, end)
	}
	copy(content[write.offset:], write.data)
	return content
}

// applyPrefix applies a random prefix of a write's data. A truncation is applied in full.
func applyPrefix(content []byte, write pendingWrite, random *rand.Rand) []byte {
	if write.truncate || len(write.data) == 0 {
		return applyWrite(content, write)
	}
	write.data = write.data[:random.IntN(len(write.data))]
	return applyWrite(content, write)
}

// applySectors gives the file its new length but applies only some sectors of the data, counted from
// the start of the write. The others keep their old content, or are zeros beyond the old length. A
// truncation is applied in full.
func applySectors(content []byte, write pendingWrite, random *rand.Rand) []byte {
	if write.truncate {
		return applyWrite(content, write)
	}
	end := write.offset + int64(len(write.data))
	if int64(len(content)) < end {
		content = resize(content, end)
	}
	for start := 0; start < len(write.data); start += sectorBytes {
		stop := min(start+sectorBytes, len(write.data))
		if random.IntN(2) == 0 {
			copy(content[write.offset+int64(start):], write.data[start:stop])
		}
	}
	return content
}

// resize returns content cut to size, or extended to it with zeros.
func resize(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size:size]
	}
	return append(content[:len(content):len(content)], make([]byte, size-int64(len(content)))...)
}

// handle is one open file.
type handle struct {
	disk *Disk
	file *inode
	name string
	// epoch is the disk's epoch when the file was opened.
	epoch    int
	writable bool
	closed   bool
	offset   int64
}

// checkUsable returns an error if the handle is closed or from an earlier epoch, or if write is set
// and the handle is read-only.
func (handle *handle) checkUsable(write bool) error {
	switch {
	case handle.closed:
		return fs.ErrClosed
	case handle.epoch != handle.disk.epoch:
		return ErrCrashed
	case write && !handle.writable:
		return fs.ErrPermission
	}
	return nil
}

// Read implements filesystem.File.
func (handle *handle) Read(buffer []byte) (int, error) {
	handle.disk.lock.Lock()
	defer handle.disk.lock.Unlock()
	if err := handle.checkUsable(false); err != nil {
		return 0, err
	}
	if handle.offset >= int64(len(handle.file.current)) {
		return 0, io.EOF
	}
	count := copy(buffer, handle.file.current[handle.offset:])
	handle.offset += int64(count)
	return count, nil
}

// Write implements filesystem.File. On a full disk it writes what fits.
func (handle *handle) Write(data []byte) (int, error) {
	handle.disk.lock.Lock()
	defer handle.disk.lock.Unlock()
	if err := handle.checkUsable(true); err != nil {
		return 0, err
	}
	fits := handle.writableBytes(len(data))
	write := pendingWrite{offset: handle.offset, data: append([]byte(nil), data[:fits]...)}
	handle.file.current = applyWrite(handle.file.current, write)
	handle.file.pending = append(handle.file.pending, write)
	handle.offset += int64(fits)
	handle.disk.bytesWritten += int64(fits)
	if fits < len(data) {
		return fits, &fs.PathError{Op: "write", Path: handle.name, Err: syscall.ENOSPC}
	}
	return fits, nil
}

// writableBytes returns how many of the wanted bytes fit on the disk when written at the current
// offset.
func (handle *handle) writableBytes(wanted int) int {
	if handle.disk.capacity == 0 {
		return wanted
	}
	growth := handle.offset + int64(wanted) - int64(len(handle.file.current))
	missing := handle.disk.usedBytes() + growth - handle.disk.capacity
	return int(max(0, int64(wanted)-max(0, missing)))
}

// Seek implements filesystem.File.
func (handle *handle) Seek(offset int64, whence int) (int64, error) {
	handle.disk.lock.Lock()
	defer handle.disk.lock.Unlock()
	if err := handle.checkUsable(false); err != nil {
		return 0, err
	}
	switch whence {
	case io.SeekCurrent:
		offset += handle.offset
	case io.SeekEnd:
		offset += int64(len(handle.file.current))
	}
	if offset < 0 {
		return 0, fs.ErrInvalid
	}
	handle.offset = offset
	return offset, nil
}

// Truncate implements filesystem.File.
func (handle *handle) Truncate(size int64) error {
	handle.disk.lock.Lock()
	defer handle.disk.lock.Unlock()
	if err := handle.checkUsable(true); err != nil {
		return err
	}
	write := pendingWrite{offset: size, truncate: true}
	handle.file.current = applyWrite(handle.file.current, write)
	handle.file.pending = append(handle.file.pending, write)
	return nil
}

// Sync implements filesystem.File. A failed sync discards the pending writes without making them
// durable, although processes still read them until a crash.
func (handle *handle) Sync() error {
	handle.disk.lock.Lock()
	defer handle.disk.lock.Unlock()
	if err := handle.checkUsable(true); err != nil {
		return err
	}
	if handle.disk.failingSyncs > 0 {
		handle.disk.failingSyncs--
		handle.file.pending = nil
		return &fs.PathError{Op: "sync", Path: handle.name, Err: errSync}
	}
	for _, write := range handle.file.pending {
		handle.file.synced = applyWrite(handle.file.synced, write)
	}
	handle.file.pending = nil
	handle.disk.syncs++
	return nil
}

// Close implements filesystem.File.
func (handle *handle) Close() error {
	handle.disk.lock.Lock()
	defer handle.disk.lock.Unlock()
	if handle.closed {
		return fs.ErrClosed
	}
	handle.closed = true
	return nil
}
