package keys

import (
	"errors"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Names of the files in a process's key folder, and of the authority's folder and its files.
const (
	AuthorityFile    = "authority.pem"
	CertificateFile  = "certificate.pem"
	KeyFile          = "key.pem"
	AuthorityFolder  = "authority"
	authorityKeyFile = "authority-key.pem"

	folderMode = 0o700
	fileMode   = 0o600
)

// ParseProcess parses a process in the form role=name or role=name@address,address.
func ParseProcess(text string) (Process, error) {
	role, rest, found := strings.Cut(text, "=")
	name, addresses, hasAddresses := strings.Cut(rest, "@")
	if !found || name == "" || !knownRole(model.Role(role)) || strings.ContainsAny(name, `/\`) || name == AuthorityFolder {
		return Process{}, faults.New(faults.CodeProcessNameWrong, "process %q is not of the form role=name or role=name@address", text)
	}
	process := Process{Name: model.NodeName(name), Role: model.Role(role)}
	if !hasAddresses {
		return process, nil
	}
	for _, address := range strings.Split(addresses, ",") {
		parsed := net.ParseIP(address)
		if parsed == nil {
			return Process{}, faults.New(faults.CodeProcessNameWrong, "process %q: %q is not an IP address", text, address)
		}
		process.Addresses = append(process.Addresses, parsed)
	}
	return process, nil
}

func knownRole(role model.Role) bool {
	switch role {
	case model.RoleControl, model.RoleRelay, model.RoleBalancer, model.RoleAgent:
		return true
	}
	return false
}

// Init writes a folder with a certificate and key below root for each process. It creates the
// authority first if root has none. It overwrites no files.
func Init(root string, processes []Process, now time.Time) error {
	for _, process := range processes {
		path := filepath.Join(root, string(process.Name), CertificateFile)
		if _, err := os.Stat(path); err == nil {
			return faults.New(faults.CodeKeysExist, "%s exists already", path)
		}
	}
	authority, err := openAuthority(root, now)
	if err != nil {
		return err
	}
	for _, process := range processes {
		if err := writeProcess(root, authority, process, now); err != nil {
			return err
		}
	}
	return nil
}

// openAuthority reads the authority below root, or creates it if there is none.
func openAuthority(root string, now time.Time) (*Authority, error) {
	folder := filepath.Join(root, AuthorityFolder)
	certificate, err := os.ReadFile(filepath.Join(folder, AuthorityFile))
	if errors.Is(err, fs.ErrNotExist) {
		return createAuthority(folder, now)
	}
	if err != nil {
		return nil, faults.New(faults.CodeKeysUnreadable, "%v", err)
	}
	key, err := os.ReadFile(filepath.Join(folder, authorityKeyFile))
	if err != nil {
		return nil, faults.New(faults.CodeKeysUnreadable, "%v", err)
	}
	return ParseAuthority(Pair{Certificate: certificate, Key: key})
}

func createAuthority(folder string, now time.Time) (*Authority, error) {
	authority, err := NewAuthority(now)
	if err != nil {
		return nil, err
	}
	if err := writeFile(folder, authorityKeyFile, authority.pair.Key); err != nil {
		return nil, err
	}
	return authority, writeFile(folder, AuthorityFile, authority.pair.Certificate)
}

// writeProcess writes the key folder of a process below root, with a new certificate.
func writeProcess(root string, authority *Authority, process Process, now time.Time) error {
	pair, err := authority.Issue(process, now)
	if err != nil {
		return err
	}
	folder := filepath.Join(root, string(process.Name))
	if err := writeFile(folder, KeyFile, pair.Key); err != nil {
		return err
	}
	if err := writeFile(folder, AuthorityFile, authority.pair.Certificate); err != nil {
		return err
	}
	return writeFile(folder, CertificateFile, pair.Certificate)
}

// writeFile writes a new file and syncs it, so that keys in use survive a crash of the machine.
func writeFile(folder, name string, content []byte) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return faults.New(faults.CodeKeysUnreadable, "%v", err)
	}
	file, err := os.OpenFile(filepath.Join(folder, name), os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if errors.Is(err, fs.ErrExist) {
		return faults.New(faults.CodeKeysExist, "%s exists already", filepath.Join(folder, name))
	}
	if err != nil {
		return faults.New(faults.CodeKeysUnreadable, "%v", err)
	}
	_, writeErr := file.Write(content)
	if err := errors.Join(writeErr, file.Sync(), file.Close()); err != nil {
		return faults.New(faults.CodeKeysUnreadable, "write %s: %v", name, err)
	}
	return nil
}
