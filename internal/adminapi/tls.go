package adminapi

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"merlinpaddle/internal/faults"
)

// Names of the files in a process's key folder (setting keys).
const (
	certificateFile = "certificate.pem"
	keyFile         = "key.pem"
)

// certificateCheckInterval is the minimum time between checks of the certificate file.
const certificateCheckInterval = 5 * time.Second

// certificateSource provides the certificate in a folder and reloads it when the modification time of
// its file changes.
type certificateSource struct {
	folder string

	lock        sync.Mutex
	certificate *tls.Certificate
	// modified is the modification time of the loaded certificate file.
	modified time.Time
	// checked is the time of the latest check for a change.
	checked time.Time
}

// wrapTLS returns a TLS listener with the folder's certificate, or the listener itself when folder is
// empty. It closes the listener when the certificate cannot be loaded.
func wrapTLS(listener net.Listener, folder string) (net.Listener, error) {
	if folder == "" {
		return listener, nil
	}
	source := &certificateSource{folder: folder}
	if err := source.load(); err != nil {
		listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, &tls.Config{
		MinVersion:     tls.VersionTLS13,
		NextProtos:     []string{"http/1.1"},
		GetCertificate: source.get,
	}), nil
}

// load reads the certificate and its key. On an error it keeps the certificate that it had.
func (source *certificateSource) load() error {
	path := filepath.Join(source.folder, certificateFile)
	information, err := os.Stat(path)
	if err != nil {
		return faults.New(faults.CodeSettingsInvalid, "keys: %v", err)
	}
	certificate, err := tls.LoadX509KeyPair(path, filepath.Join(source.folder, keyFile))
	if err != nil {
		return faults.New(faults.CodeSettingsInvalid, "keys: %v", err)
	}
	source.certificate = &certificate
	source.modified = information.ModTime()
	return nil
}

// get returns the current certificate, for tls.Config.GetCertificate. A changed file that cannot be
// loaded leaves the previous certificate in place.
func (source *certificateSource) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	source.lock.Lock()
	defer source.lock.Unlock()
	if time.Since(source.checked) < certificateCheckInterval {
		return source.certificate, nil
	}
	source.checked = time.Now()
	information, err := os.Stat(filepath.Join(source.folder, certificateFile))
	if err == nil && !information.ModTime().Equal(source.modified) {
		_ = source.load()
	}
	return source.certificate, nil
}
