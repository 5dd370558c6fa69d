// Package auth authenticates requests by bearer tokens and defines what each token may do. A file in
// YAML or JSON lists the SHA-256 hash of each token with a role and, for operators and viewers of
// one tenant, the tenant.
//
// A token of at least MinimumTokenBytes random bytes has enough entropy that its plain hash, without
// salt and key stretching, does not reveal it.
package auth

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"

	"gopkg.in/yaml.v3"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Role defines what a token may do.
type Role string

// The roles, from the weakest to the strongest.
const (
	// RoleViewer may read.
	RoleViewer Role = "viewer"
	// RoleOperator may also change services and targets.
	RoleOperator Role = "operator"
	// RoleAdmin may also change templates, tenants and members, and make backups.
	RoleAdmin Role = "admin"
)

// rank returns the position of the role in the order of roles; zero means that the role is unknown.
func (role Role) rank() int {
	switch role {
	case RoleViewer:
		return 1
	case RoleOperator:
		return 2
	case RoleAdmin:
		return 3
	}
	return 0
}

// Includes reports whether the role may do what the needed role may do.
func (role Role) Includes(needed Role) bool {
	return role.rank() > 0 && role.rank() >= needed.rank()
}

// Identity describes the token that a request was sent with.
type Identity struct {
	// Name is the name of the token in logs and in the history of objects.
	Name string
	Role Role
	// Tenant limits the token to one tenant; empty means all tenants.
	Tenant model.TenantName
}

// MayUse reports whether the identity may use objects of the tenant.
func (identity Identity) MayUse(tenant model.TenantName) bool {
	return identity.Tenant == "" || identity.Tenant == tenant
}

// MaximumTokens is the largest number of tokens in one file.
const MaximumTokens = 4096

// fileContent is the content of a token file.
type fileContent struct {
	Tokens []fileToken `yaml:"tokens"`
}

// fileToken is one entry of the token file.
type fileToken struct {
	Name   string `yaml:"name"`
	SHA256 string `yaml:"sha256"`
	Role   Role   `yaml:"role"`
	Tenant string `yaml:"tenant"`
}

// entry is one valid token.
type entry struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Tokens is an immutable set of valid tokens.
type Tokens struct {
	entries []entry
}

// Hash returns the SHA-256 of a token in hexadecimal, as the token file lists it.
func Hash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Parse parses the content of a token file. An error names the invalid entry and field.
func Parse(content []byte) (*Tokens, error) {
	var file fileContent
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(&file); err != nil {
		return nil, faults.New(faults.CodeTokensInvalid, "token file: %v", err)
	}
	if len(file.Tokens) > MaximumTokens {
		return nil, faults.New(faults.CodeTokensInvalid, "token file: more than %d tokens", MaximumTokens)
	}
	tokens := &Tokens{}
	names := make(map[string]bool)
	for index, listed := range file.Tokens {
		valid, err := listed.check()
		if err != nil {
			return nil, faults.New(faults.CodeTokensInvalid, "token file: tokens[%d]: %v", index, err)
		}
		if names[listed.Name] {
			return nil, faults.New(faults.CodeTokensInvalid, "token file: tokens[%d]: name %q is used twice", index, listed.Name)
		}
		names[listed.Name] = true
		tokens.entries = append(tokens.entries, valid)
	}
	return tokens, nil
}

// check validates the entry and returns the token that it defines.
func (listed fileToken) check() (entry, error) {
	valid := entry{identity: Identity{Name: listed.Name, Role: listed.Role, Tenant: model.TenantName(listed.Tenant)}}
	if listed.Name == "" {
		return entry{}, fmt.Errorf("name is missing")
	}
	if listed.Role.rank() == 0 {
		return entry{}, fmt.Errorf("role %q is not viewer, operator or admin", listed.Role)
	}
	if listed.Role == RoleAdmin && listed.Tenant != "" {
		return entry{}, fmt.Errorf("an admin token has no tenant, because templates and members belong to all tenants")
	}
	decoded, err := hex.DecodeString(listed.SHA256)
	if err != nil || len(decoded) != sha256.Size {
		return entry{}, fmt.Errorf("sha256 must be 64 hexadecimal digits; merlinctl token new creates a token with its hash")
	}
	copy(valid.hash[:], decoded)
	return valid, nil
}

// Find returns the identity of a token, and reports whether the token is valid. It compares the
// token with every entry in constant time, so that its duration reveals nothing about the entries.
func (tokens *Tokens) Find(token string) (Identity, bool) {
	sum := sha256.Sum256([]byte(token))
	found := -1
	for index := range tokens.entries {
		equal := subtle.ConstantTimeCompare(sum[:], tokens.entries[index].hash[:])
		found = subtle.ConstantTimeSelect(equal, index, found)
	}
	if found < 0 {
		return Identity{}, false
	}
	return tokens.entries[found].identity, true
}

// Count returns the number of tokens.
func (tokens *Tokens) Count() int { return len(tokens.entries) }
