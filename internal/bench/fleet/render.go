package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"gopkg.in/yaml.v3"

	"merlinpaddle/internal/auth"
	"merlinpaddle/internal/keys"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/settings"
)

// Files and folders of a rendered fleet.
const (
	processesFile  = "processes.tsv"
	settingsFolder = "settings"
	keysFolder     = "keys"
	LedgersFolder  = "ledgers"
	ReportsFolder  = "reports"
	// tokensFile has the hash of the administrator's token, for control members; TokenFile has the
	// token itself, for clients.
	tokensFile    = "tokens.yaml"
	TokenFile     = "admin.token"
	documentsFile = "apply.yaml"
	fleetFile     = "fleet.yaml"

	// BackendPrefix precedes a target's name in the name of its back end.
	BackendPrefix = "backend-"
	// AuthorityFile is the path of the certificate authority's certificate in a fleet's folder.
	AuthorityFile = keysFolder + "/" + keys.AuthorityFolder + "/" + keys.AuthorityFile

	folderMode  = 0o755
	fileMode    = 0o644
	privateMode = 0o600
)

// Render writes the settings, keys, tokens, documents and process list of a fleet into folder. It
// fails when folder already has a fleet.
func Render(file File, folder string) (*Layout, error) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		return nil, fmt.Errorf("folder of the fleet: %w", err)
	}
	if _, err := os.Stat(filepath.Join(folder, processesFile)); err == nil {
		return nil, fmt.Errorf("%s holds a fleet already", folder)
	}
	layout := NewLayout(file)
	renderer := renderer{layout: layout, folder: folder}
	err = errors.Join(
		renderer.makeFolders(),
		renderer.writeSettings(),
		renderer.writeKeys(),
		renderer.writeTokens(),
		renderer.writeDocuments(),
		renderer.writeFleet(),
	)
	if err != nil {
		return nil, err
	}
	// The process list is written last, so that a folder which has one has a complete fleet.
	return layout, writeProcesses(filepath.Join(folder, processesFile), layout.Processes)
}

func (renderer renderer) makeFolders() error {
	var problems []error
	for _, name := range []string{settingsFolder, keysFolder, LedgersFolder, ReportsFolder} {
		problems = append(problems, os.MkdirAll(filepath.Join(renderer.folder, name), folderMode))
	}
	return errors.Join(problems...)
}

// SettingsPath returns the path of the settings file of the process with that name.
func SettingsPath(folder, process string) string {
	return filepath.Join(folder, settingsFolder, process+".yaml")
}

// writeSettings writes the settings file of each process, and loads it to validate it.
func (renderer renderer) writeSettings() error {
	for _, process := range renderer.layout.Processes {
		text, err := settings.Marshal(renderer.settingsOf(process))
		if err != nil {
			return fmt.Errorf("settings of %s: %w", process.Name, err)
		}
		path := SettingsPath(renderer.folder, process.Name)
		if err := os.WriteFile(path, text, fileMode); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if _, err := settings.Load(path, nil); err != nil {
			return fmt.Errorf("settings of %s: %w", process.Name, err)
		}
	}
	return nil
}

// writeKeys creates the keys of control members, relays, balancers and agents. The stand-ins have
// none.
func (renderer renderer) writeKeys() error {
	var processes []keys.Process
	for _, role := range []Role{RoleControl, RoleRelay, RoleBalancer, RoleAgent} {
		for _, process := range renderer.layout.WithRole(role) {
			processes = append(processes, keys.Process{
				Name:      model.NodeName(process.Name),
				Role:      model.Role(role),
				Addresses: []net.IP{process.Machine.AsSlice()},
			})
		}
	}
	return keys.Init(filepath.Join(renderer.folder, keysFolder), processes, time.Now())
}

// tokenList is the content of the administration API's token file.
type tokenList struct {
	Tokens []tokenEntry `yaml:"tokens"`
}

type tokenEntry struct {
	Name   string `yaml:"name"`
	SHA256 string `yaml:"sha256"`
	Role   string `yaml:"role"`
}

func (renderer renderer) writeTokens() error {
	token := auth.Generate()
	list, err := yaml.Marshal(tokenList{Tokens: []tokenEntry{{
		Name: "fleet", SHA256: auth.Hash(token), Role: string(auth.RoleAdmin),
	}}})
	if err != nil {
		return fmt.Errorf("encode tokens: %w", err)
	}
	return errors.Join(
		os.WriteFile(filepath.Join(renderer.folder, tokensFile), list, privateMode),
		os.WriteFile(filepath.Join(renderer.folder, TokenFile), []byte(token+"\n"), privateMode),
	)
}

func (renderer renderer) writeDocuments() error {
	content, err := encodeDocuments(renderer.layout.documents())
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(renderer.folder, documentsFile), content, fileMode)
}

func (renderer renderer) writeFleet() error {
	content, err := yaml.Marshal(renderer.layout.file)
	if err != nil {
		return fmt.Errorf("encode fleet: %w", err)
	}
	return os.WriteFile(filepath.Join(renderer.folder, fleetFile), content, fileMode)
}
