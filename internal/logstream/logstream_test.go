package logstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

func newLogger(options Options) (*zap.Logger, *Stream) {
	stream := NewStream(options)
	return zap.New(NewCore(stream)), stream
}

// runAndSplit writes the queued lines and returns them.
func runAndSplit(stream *Stream) []string {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var output bytes.Buffer
	stream.Run(ctx, &output)
	stream.drain(&output)
	return strings.Split(strings.TrimSuffix(output.String(), "\n"), "\n")
}

func TestBudgetLimitsLinesAndCountsThoseLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, stream := newLogger(Options{Level: zapcore.InfoLevel, LinesPerSecond: 5, QueueLines: 100})
		for range 1000 {
			logger.Info("flow opened")
		}
		logger.Info("leader changed")
		require.Len(t, runAndSplit(stream), 6, "each kind has a budget of its own")
		time.Sleep(time.Second)
		logger.Info("flow opened", zap.Int("port", 7))
		lines := runAndSplit(stream)
		require.Len(t, lines, 1)
		var line map[string]any
		require.NoError(t, json.Unmarshal([]byte(lines[0]), &line))
		require.InDelta(t, 995, line["left_out"], 0)
		require.InDelta(t, 7, line["port"], 0)
	})
}

// blockedOutput is an output whose writes block until released is closed, such as a pipe that is
// not read.
type blockedOutput struct{ released chan struct{} }

func (output blockedOutput) Write(line []byte) (int, error) {
	<-output.released
	return len(line), nil
}

var _ io.Writer = blockedOutput{}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logger, stream := newLogger(Options{Level: zapcore.InfoLevel, LinesPerSecond: 1000, QueueLines: 10})
		output := blockedOutput{released: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		go stream.Run(ctx, output)
		begin := time.Now()
		for range 500 {
			logger.Info("flow opened")
		}
		require.Zero(t, time.Since(begin), "logging does not wait for the output")
		synctest.Wait()
		require.GreaterOrEqual(t, stream.Lost(), uint64(488))
		cancel()
		close(output.released)
		synctest.Wait()
	})
}

func TestLinesBelowTheLevelAreNotWritten(t *testing.T) {
	logger, stream := newLogger(Options{Level: zapcore.WarnLevel, LinesPerSecond: 5, QueueLines: 100})
	logger.Info("small")
	logger.With(zap.String("peer", "a")).Warn("large")
	lines := runAndSplit(stream)
	require.Len(t, lines, 1)
	require.Contains(t, lines[0], `"peer":"a"`)
}
