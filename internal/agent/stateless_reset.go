package agent

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"github.com/quic-go/quic-go"
)

// Sizes of stateless resets (RFC 9000 sections 10.3 and 17.3), in bytes.
const (
	resetTokenLength = 16
	// minResetLength leaves 38 unpredictable bits before the token.
	minResetLength = 5 + resetTokenLength
	// maxResetLength is a common length of short packets, so that a reset cannot
	// be distinguished from them by its length.
	maxResetLength = 42
)

// Bits of the first byte of a QUIC packet.
const (
	longHeaderBit = 0x80
	fixedBit      = 0x40
)

// statelessReset returns the stateless reset for a packet of a connection that no
// agent owns, or nil when the packet has a long header or is too short to be
// answered by one.
//
// The QUIC library sends resets only for packets of more than 38 bytes. A caller
// that only receives a feed sends shorter ones, so the agent builds its own. The
// token is the one that the library announced for the connection ID: the
// HMAC-SHA256 of the ID under the shared key, truncated. The reset is shorter than
// the packet, so that two endpoints cannot answer each other's resets forever.
func statelessReset(key *quic.StatelessResetKey, received []byte) []byte {
	answerable := len(received) > minResetLength && received[0]&longHeaderBit == 0
	if !answerable {
		return nil
	}
	reset := make([]byte, min(len(received)-1, maxResetLength))
	unpredictable := reset[:len(reset)-resetTokenLength]
	_, _ = rand.Read(unpredictable)
	reset[0] = reset[0]&^(longHeaderBit|fixedBit) | fixedBit
	mac := hmac.New(sha256.New, key[:])
	mac.Write(received[1 : 1+connectionIDLength])
	copy(reset[len(unpredictable):], mac.Sum(nil))
	return reset
}
