package transport

import (
	"bufio"
	"io"
	"reflect"

	"github.com/prometheus/client_golang/prometheus"
)

// The values of the label type for frames that carry no message.
const (
	frameHello     = "hello"
	frameRefusal   = "refusal"
	frameKeepalive = "keepalive"
)

// traffic counts messages and their bytes by type and direction, without TLS. The difference between
// merlinpaddle_control_bytes_total and the sum of these bytes is the overhead of TLS.
type traffic struct {
	messages *prometheus.CounterVec
	bytes    *prometheus.CounterVec
}

func newTraffic() traffic {
	labels := []string{"direction", "type"}
	return traffic{
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinpaddle_control_messages_total",
			Help: "Control messages on connections, by direction and type.",
		}, labels),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "merlinpaddle_control_message_bytes_total",
			Help: "Encoded bytes of control messages before TLS, by direction and type.",
		}, labels),
	}
}

func (traffic traffic) count(direction string, frame *frame, size int) {
	kind := frame.kind()
	traffic.messages.WithLabelValues(direction, kind).Inc()
	traffic.bytes.WithLabelValues(direction, kind).Add(float64(size))
}

// kind returns the type name of the frame's message, or the kind of frame if it has no message.
func (frame *frame) kind() string {
	switch {
	case frame.Envelope != nil:
		return reflect.TypeOf(frame.Envelope.Message).String()
	case frame.Hello != nil:
		return frameHello
	case frame.Refusal != nil:
		return frameRefusal
	default:
		return frameKeepalive
	}
}

// countingWriter counts the bytes that the encoder writes.
type countingWriter struct {
	io.Writer
	written int
}

// Write implements io.Writer.
func (writer *countingWriter) Write(buffer []byte) (int, error) {
	count, err := writer.Writer.Write(buffer)
	writer.written += count
	return count, err
}

// take returns the number of bytes written since the previous call.
func (writer *countingWriter) take() int {
	count := writer.written
	writer.written = 0
	return count
}

// countingReader counts the bytes that the decoder reads. It implements io.ByteReader, so that the
// gob decoder adds no buffer of its own and reads no further than the value that it decodes.
type countingReader struct {
	buffered *bufio.Reader
	read     int
}

// Read implements io.Reader.
func (reader *countingReader) Read(buffer []byte) (int, error) {
	count, err := reader.buffered.Read(buffer)
	reader.read += count
	return count, err
}

// ReadByte implements io.ByteReader.
func (reader *countingReader) ReadByte() (byte, error) {
	value, err := reader.buffered.ReadByte()
	if err == nil {
		reader.read++
	}
	return value, err
}

// take returns the number of bytes read since the previous call.
func (reader *countingReader) take() int {
	count := reader.read
	reader.read = 0
	return count
}
