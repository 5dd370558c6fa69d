package auth

import (
	"bytes"
	"context"
	"io"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
)

// DefaultReloadInterval is the default time between two checks of the token file for changes.
const DefaultReloadInterval = 2 * time.Second

// maximumFileBytes is the largest size of the token file.
const maximumFileBytes = 4 << 20

// File is a token file that is reloaded when it changes. If the changed file is invalid, the previous
// tokens stay valid. Find is safe for concurrent use.
type File struct {
	path    string
	logger  *zap.Logger
	current atomic.Pointer[Tokens]
	// content is the content that Reload last read, valid or not. Only Reload uses it.
	content []byte
}

// Open reads the token file, and fails if it is invalid.
func Open(path string, logger *zap.Logger) (*File, error) {
	file := &File{path: path, logger: logger}
	if _, err := file.Reload(); err != nil {
		return nil, err
	}
	return file, nil
}

// Find returns the identity of a token; see Tokens.Find.
func (file *File) Find(token string) (Identity, bool) { return file.current.Load().Find(token) }

// Reload reads the file and reports whether its tokens were replaced, which is the case if its content
// changed and is valid. It must not be called concurrently.
func (file *File) Reload() (bool, error) {
	content, err := readBounded(file.path)
	if err != nil {
		return false, err
	}
	if file.current.Load() != nil && bytes.Equal(content, file.content) {
		return false, nil
	}
	file.content = content
	tokens, err := Parse(content)
	if err != nil {
		return false, err
	}
	file.current.Store(tokens)
	return true, nil
}

func readBounded(path string) ([]byte, error) {
	opened, err := os.Open(path)
	if err != nil {
		return nil, faults.New(faults.CodeTokensInvalid, "token file: %v", err)
	}
	defer opened.Close()
	content, err := io.ReadAll(io.LimitReader(opened, maximumFileBytes+1))
	if err != nil {
		return nil, faults.New(faults.CodeTokensInvalid, "token file: %v", err)
	}
	if len(content) > maximumFileBytes {
		return nil, faults.New(faults.CodeTokensInvalid, "token file: larger than %d bytes", maximumFileBytes)
	}
	return content, nil
}

// Watch reloads the file at each interval until ctx ends.
func (file *File) Watch(ctx context.Context, interval time.Duration) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			file.reloadAndLog()
		}
	}
}

func (file *File) reloadAndLog() {
	changed, err := file.Reload()
	if err != nil {
		file.logger.Warn("token file invalid; the previous tokens stay valid", zap.String("path", file.path), zap.Error(err))
		return
	}
	if changed {
		file.logger.Info("token file reloaded", zap.Int("tokens", file.current.Load().Count()))
	}
}
