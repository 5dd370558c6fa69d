package batch

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/ipv4"
	"golang.org/x/sys/unix"
)

// scriptedSender returns the next of its results from each call.
type scriptedSender struct {
	t       *testing.T
	results []sendResult
}

type sendResult struct {
	count int
	err   error
}

func (sender *scriptedSender) WriteBatch(messages []ipv4.Message, flags int) (int, error) {
	require.Equal(sender.t, unix.MSG_DONTWAIT, flags, "the writer must not wait for space in the send buffer")
	require.NotEmpty(sender.t, sender.results, "unexpected call with %d datagrams", len(messages))
	result := sender.results[0]
	sender.results = sender.results[1:]
	return result.count, result.err
}

func TestFullSendBufferDropsAndDoesNotWait(t *testing.T) {
	eagain := fmt.Errorf("sendmmsg: %w", unix.EAGAIN)
	enobufs := fmt.Errorf("sendmmsg: %w", unix.ENOBUFS)
	emsgsize := fmt.Errorf("sendmmsg: %w", unix.EMSGSIZE)
	cases := []struct {
		name    string
		results []sendResult
		want    Outcome
	}{
		{"buffer full at the first datagram", []sendResult{{0, eagain}}, Outcome{Overflowed: 4}},
		{"buffer full after some datagrams", []sendResult{{3, nil}, {0, eagain}}, Outcome{Sent: 3, Overflowed: 1}},
		{"buffer full after a rejected datagram", []sendResult{{1, nil}, {0, emsgsize}, {0, eagain}}, Outcome{Sent: 1, Failed: 1, Overflowed: 2}},
		{"device queue full", []sendResult{{2, nil}, {0, enobufs}}, Outcome{Sent: 2, Overflowed: 2}},
		{"partial success of each call", []sendResult{{1, nil}, {1, nil}, {2, nil}}, Outcome{Sent: 4}},
		{"no progress and no error", []sendResult{{0, nil}, {3, nil}}, Outcome{Sent: 3, Failed: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			sender := &scriptedSender{t: t, results: test.results}
			writer := newWriter(sender)
			for range 4 {
				writer.Put(writer.Header(), nil, nil)
			}
			require.Equal(t, test.want, writer.Flush())
			require.Empty(t, sender.results)
			require.Zero(t, writer.Flush(), "a second flush must send nothing")
		})
	}
}

// TestReaderCountsDatagramsDroppedByTheSocket overfills a small receive buffer and checks that the
// datagrams read and the reported drops add up to the datagrams sent.
func TestReaderCountsDatagramsDroppedByTheSocket(t *testing.T) {
	sender, receiver := openSocket(t, "127.0.0.1:0"), openSocket(t, "127.0.0.1:0")
	require.NoError(t, receiver.SetReadBuffer(8<<10))
	require.NoError(t, ReportDrops(receiver))
	writer, reader := NewWriter(sender), NewReader(receiver)
	sent, read := 0, 0
	send := func() {
		writer.Put(writer.Header(), make([]byte, 1000), addressOf(receiver))
		require.Equal(t, Outcome{Sent: 1}, writer.Flush(), "a drop at the receiver is not an error of the sender")
		sent++
	}
	for range 400 {
		send()
	}
	// The kernel reports drops with a datagram that it accepted after them, so the test sends
	// another one before each read until all datagrams are accounted for.
	for reader.Dropped() == 0 || read+int(reader.Dropped()) != sent {
		send()
		count, err := reader.Read()
		require.NoError(t, err)
		read += count
	}
	require.Less(t, read, 400, "the receive buffer must be too small for all datagrams")
}

func TestDropCountInControlMessages(t *testing.T) {
	message := func(level, kind int32, data ...byte) []byte {
		control := make([]byte, unix.CmsgSpace(len(data)))
		binary.NativeEndian.PutUint64(control, uint64(unix.CmsgLen(len(data))))
		binary.NativeEndian.PutUint32(control[8:], uint32(level))
		binary.NativeEndian.PutUint32(control[12:], uint32(kind))
		copy(control[unix.CmsgLen(0):], data)
		return control
	}
	drops := message(unix.SOL_SOCKET, unix.SO_RXQ_OVFL, 9, 0, 0, 0)
	count := binary.NativeEndian.Uint32([]byte{9, 0, 0, 0})
	cases := []struct {
		name    string
		control []byte
		want    uint32
	}{
		{"none", nil, 5},
		{"drops", drops, count},
		{"drops after another message", append(message(unix.SOL_IP, unix.IP_TTL, 64, 0, 0, 0), drops...), count},
		{"only another message", message(unix.SOL_IP, unix.IP_TTL, 64, 0, 0, 0), 5},
		{"truncated message", drops[:10], 5},
		{"length beyond the end", message(unix.SOL_SOCKET, unix.SO_RXQ_OVFL, 9, 0, 0, 0)[:18], 5},
		{"truncated count", message(unix.SOL_SOCKET, unix.SO_RXQ_OVFL, 9), 5},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, parseDropCount(test.control, 5))
		})
	}
}
