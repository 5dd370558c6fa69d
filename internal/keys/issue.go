package keys

import (
	"crypto/tls"
	"crypto/x509"
	"path/filepath"
	"time"

	"merlinpaddle/internal/faults"
)

// IssueLoader returns a loader with a new certificate that is kept in memory only, signed by the
// authority below root, which is created if there is none. It is used by measurements that run the
// links of many processes in one process.
func IssueLoader(root string, process Process, now time.Time) (*Loader, error) {
	authority, err := openAuthority(root, now)
	if err != nil {
		return nil, err
	}
	pair, err := authority.Issue(process, now)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, faults.New(faults.CodeKeysInvalid, "issued certificate: %v", err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.Pair().Certificate)
	return &Loader{folder: filepath.Join(root, AuthorityFolder), process: process, inMemory: true, certificate: &certificate, authority: pool}, nil
}
