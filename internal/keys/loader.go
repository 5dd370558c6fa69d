package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"path/filepath"
	"sync"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Loader holds the certificate of one process and reloads its files when they change. Changed files
// that are invalid are ignored, and the previous certificate stays in use. A Loader is safe for
// concurrent use.
type Loader struct {
	folder  string
	process Process
	// inMemory means that the certificate is not read from files.
	inMemory bool

	lock        sync.Mutex
	modified    time.Time
	certificate *tls.Certificate
	authority   *x509.CertPool
	lastFault   error
}

// NewLoader reads the folder and checks that its certificate names the process's name and role and
// is signed by the authority in the folder.
func NewLoader(folder string, name model.NodeName, role model.Role) (*Loader, error) {
	loader := &Loader{folder: folder, process: Process{Name: name, Role: role}}
	modified, err := loader.latestModification()
	if err != nil {
		return nil, err
	}
	if err := loader.read(modified); err != nil {
		return nil, err
	}
	return loader, nil
}

// Certificate returns the current certificate, after it reloaded changed files.
func (loader *Loader) Certificate() *tls.Certificate {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	loader.refresh()
	return loader.certificate
}

// Authority returns the current authority, after it reloaded changed files.
func (loader *Loader) Authority() *x509.CertPool {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	loader.refresh()
	return loader.authority
}

// LastFault returns why the latest changed files are not in use, or nil.
func (loader *Loader) LastFault() error {
	loader.lock.Lock()
	defer loader.lock.Unlock()
	return loader.lastFault
}

// ServerConfig returns a TLS configuration that accepts connections from processes with a
// certificate of the same authority. Each connection uses the current files.
func (loader *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*loader.Certificate()},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    loader.Authority(),
			}, nil
		},
	}
}

// ClientConfig returns a TLS configuration for a connection to the process named peer.
func (loader *Loader) ClientConfig(peer model.NodeName) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   string(peer),
		Certificates: []tls.Certificate{*loader.Certificate()},
		RootCAs:      loader.Authority(),
	}
}

// PeerProcess returns the name and role in a peer's verified certificate.
func PeerProcess(state tls.ConnectionState) (Process, error) {
	if len(state.PeerCertificates) == 0 {
		return Process{}, faults.New(faults.CodeKeysInvalid, "the peer sent no certificate")
	}
	return processOf(state.PeerCertificates[0])
}

// processOf returns the name and role in the certificate.
func processOf(certificate *x509.Certificate) (Process, error) {
	units := certificate.Subject.OrganizationalUnit
	if len(units) != 1 || !knownRole(model.Role(units[0])) || certificate.Subject.CommonName == "" {
		return Process{}, faults.New(faults.CodeKeysInvalid, "certificate of %q names no role", certificate.Subject.CommonName)
	}
	return Process{Name: model.NodeName(certificate.Subject.CommonName), Role: model.Role(units[0])}, nil
}

// refresh reloads the files if one of them changed.
func (loader *Loader) refresh() {
	if loader.inMemory {
		return
	}
	modified, err := loader.latestModification()
	if err == nil && modified.Equal(loader.modified) {
		return
	}
	if err == nil {
		err = loader.read(modified)
	}
	loader.lastFault = err
}

// latestModification returns the latest modification time of the files.
func (loader *Loader) latestModification() (time.Time, error) {
	var newest time.Time
	for _, name := range []string{AuthorityFile, CertificateFile, KeyFile} {
		info, err := os.Stat(filepath.Join(loader.folder, name))
		if err != nil {
			return time.Time{}, faults.New(faults.CodeKeysUnreadable, "%v", err)
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

// read reads and checks the files, and replaces the current certificate and authority if they are
// valid.
func (loader *Loader) read(modified time.Time) error {
	authorityText, err := os.ReadFile(filepath.Join(loader.folder, AuthorityFile))
	if err != nil {
		return faults.New(faults.CodeKeysUnreadable, "%v", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(authorityText) {
		return faults.New(faults.CodeKeysUnreadable, "%s has no certificate", filepath.Join(loader.folder, AuthorityFile))
	}
	pair, err := tls.LoadX509KeyPair(filepath.Join(loader.folder, CertificateFile), filepath.Join(loader.folder, KeyFile))
	if err != nil {
		return faults.New(faults.CodeKeysUnreadable, "%s and %s in %s: %v", CertificateFile, KeyFile, loader.folder, err)
	}
	if err := loader.check(pair.Leaf, authority); err != nil {
		return err
	}
	loader.certificate = &pair
	loader.authority = authority
	loader.modified = modified
	return nil
}

// check verifies that the certificate is signed by the authority and names the loader's process.
func (loader *Loader) check(leaf *x509.Certificate, authority *x509.CertPool) error {
	options := x509.VerifyOptions{Roots: authority, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}}
	if _, err := leaf.Verify(options); err != nil {
		return faults.New(faults.CodeKeysInvalid, "certificate in %s: %v", loader.folder, err)
	}
	process, err := processOf(leaf)
	if err != nil {
		return err
	}
	if process.Name != loader.process.Name || process.Role != loader.process.Role {
		return faults.New(faults.CodeKeysInvalid, "certificate in %s is that of %s %q, not of %s %q",
			loader.folder, process.Role, process.Name, loader.process.Role, loader.process.Name)
	}
	return nil
}
