package auth

import (
	"crypto/rand"
	"encoding/base64"
)

// MinimumTokenBytes is the number of random bytes in a generated token, and the least that a token
// needs to be safe to store as a plain hash.
const MinimumTokenBytes = 32

// Generate returns a new random token.
func Generate() string {
	random := make([]byte, MinimumTokenBytes)
	// rand.Read never returns an error: the runtime ends the process instead.
	_, _ = rand.Read(random)
	return base64.RawURLEncoding.EncodeToString(random)
}
