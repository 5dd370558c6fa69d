package fleet

import (
	"net/netip"
	"path/filepath"
)

// Listen returns the address on which a control member or relay accepts control connections.
func (process Process) Listen() netip.AddrPort {
	return netip.AddrPortFrom(process.Machine, portListen)
}

// KeysFolder returns the path of the folder with the keys of all processes of the fleet in folder and
// of the certificate authority that signed them.
func KeysFolder(folder string) string { return filepath.Join(folder, keysFolder) }

// TokensPath returns the path of the administration API's token file of the fleet in folder.
func TokensPath(folder string) string { return filepath.Join(folder, tokensFile) }
