// Package cli implements the operators' command line on top of package client.
package cli

import (
	"time"

	"github.com/lacewingsaddle/lacewingsaddle/tlog"
)

// Arguments are the operators' subcommands and the options that they share.
type Arguments struct {
	Check   *CheckCmd    `arg:"subcommand:check" help:"check a file of profiles and services"`
	Profile *DocumentCmd `arg:"subcommand:profile" help:"publish and read profiles"`
	Service *DocumentCmd `arg:"subcommand:service" help:"publish and read services"`
	Status  *StatusCmd   `arg:"subcommand:status" help:"one host's view of the deployment"`
	Hosts   *HostsCmd    `arg:"subcommand:hosts" help:"entry hosts and what they have applied"`
	Servers *ServersCmd  `arg:"subcommand:servers" help:"backend servers and their shares"`
	Owners  *OwnersCmd   `arg:"subcommand:owners" help:"owner of each shard, or of one key"`
	Explain *ExplainCmd  `arg:"subcommand:explain" help:"why a key or a recent request was routed as it was"`
	Move    *MoveCmd     `arg:"subcommand:move" help:"move one shard to another backend server"`
	Pin     *PinCmd      `arg:"subcommand:pin" help:"give a hot key an owner of its own"`
	Unpin   *UnpinCmd    `arg:"subcommand:unpin" help:"return a pinned key to its shard's owner"`
	Drain   *DrainCmd    `arg:"subcommand:drain" help:"move every shard off a backend server"`
	Undrain *DrainCmd    `arg:"subcommand:undrain" help:"let a draining backend server take shards again"`
	Members *MembersCmd  `arg:"subcommand:members" help:"remove entry hosts that have stopped permanently"`
	Audit   *AuditCmd    `arg:"subcommand:audit" help:"who changed what, when and why, and whether it took effect"`
	Watch   *WatchCmd    `arg:"subcommand:watch" help:"a table of services and servers, refreshed at an interval"`
	Schema  *SchemaCmd   `arg:"subcommand:schema" help:"the JSON Schema of profiles and services, for editors"`
	Shell   *ShellCmd    `arg:"subcommand:completion" help:"completion script for a shell"`

	Admin     string `arg:"--admin,env:LACEWINGSADDLE_ADMIN" placeholder:"URL" default:"http://127.0.0.1:7003" help:"admin address of any entry host"`
	TokenFile string `arg:"--token-file,env:LACEWINGSADDLE_TOKEN_FILE" placeholder:"FILE" help:"file with the admin token; else it is read from LACEWINGSADDLE_TOKEN"`
	CA        string `arg:"--ca,env:LACEWINGSADDLE_CA" placeholder:"FILE" help:"CA certificate of the hosts, for an https admin address"`
	Cert      string `arg:"--cert,env:LACEWINGSADDLE_CERT" placeholder:"FILE" help:"the operator's certificate"`
	Key       string `arg:"--key-file,env:LACEWINGSADDLE_KEY_FILE" placeholder:"FILE" help:"the certificate's private key"`
	Store     string `arg:"--store,env:LACEWINGSADDLE_STORE" placeholder:"HOST:PORT" help:"address of the platform's store; status and owners then read it instead of asking a host"`
	JSON      bool   `arg:"--json" help:"print JSON for machines"`
}

// Epilogue returns the text that go-arg prints after the help.
func (Arguments) Epilogue() string { return exitCodesText }

// Writing holds the options of every change.
type Writing struct {
	Reason  string        `arg:"--reason,required" help:"why; it goes into the audit trail"`
	Author  string        `arg:"--author,env:LACEWINGSADDLE_AUTHOR" help:"author of the change, unless the token names its holder"`
	Wait    string        `arg:"--wait" default:"in-force" help:"accepted or in-force"`
	Timeout time.Duration `arg:"--timeout" default:"19s" help:"longest wait until the change is in force"`
	DryRun  bool          `arg:"--dry-run" help:"show what would change and write nothing"`
	ID      string        `arg:"--id" help:"id of an earlier attempt that is in doubt; it cannot take effect twice"`
}

// CheckCmd validates files without contacting a host.
type CheckCmd struct {
	Files     []string `arg:"positional,required" placeholder:"FILE"`
	Effective bool     `arg:"--effective" help:"print the documents with every default"`
}

// DocumentCmd holds the subcommands on profiles and on services.
type DocumentCmd struct {
	Publish  *PublishCmd  `arg:"subcommand:publish" help:"publish a file's documents"`
	List     *ListCmd     `arg:"subcommand:list" help:"names, versions and authors"`
	Show     *ShowCmd     `arg:"subcommand:show" help:"print a document"`
	Diff     *DiffCmd     `arg:"subcommand:diff" help:"compare two versions"`
	History  *HistoryCmd  `arg:"subcommand:history" help:"versions that the log still keeps"`
	Rollback *RollbackCmd `arg:"subcommand:rollback" help:"publish an earlier version as a new one"`
}

// PublishCmd publishes the documents of one kind in a file.
type PublishCmd struct {
	Writing
	File string   `arg:"positional,required"`
	Base []string `arg:"--base,separate" placeholder:"[NAME=]VERSION" help:"version that the document is based on; none for a new name"`
}

// ListCmd lists documents.
type ListCmd struct{}

// ShowCmd prints a document.
type ShowCmd struct {
	Name      string      `arg:"positional,required"`
	Version   tlog.Offset `arg:"--version" help:"an earlier version"`
	Effective bool        `arg:"--effective" help:"with every default"`
}

// DiffCmd compares versions.
type DiffCmd struct {
	Name string      `arg:"positional,required"`
	From tlog.Offset `arg:"positional,required"`
	To   tlog.Offset `arg:"positional" help:"default: the current version"`
}

// HistoryCmd lists versions.
type HistoryCmd struct {
	Name string `arg:"positional,required"`
}

// RollbackCmd publishes an earlier version as a new one.
type RollbackCmd struct {
	Writing
	Name string      `arg:"positional,required"`
	To   tlog.Offset `arg:"--to,required" placeholder:"VERSION"`
	Base tlog.Offset `arg:"--base,required" placeholder:"VERSION" help:"the current version that you saw"`
}

// StatusCmd prints the status.
type StatusCmd struct {
	Logs []string `arg:"--logs" placeholder:"FILE" help:"with --store: show too which backend servers leave or are full, by the logs of entry hosts"`
}

// HostsCmd lists entry hosts.
type HostsCmd struct{}

// ServersCmd lists backend servers.
type ServersCmd struct {
	Service string `arg:"positional"`
}

// OwnersCmd lists owners.
type OwnersCmd struct {
	Key     string   `arg:"positional"`
	Service string   `arg:"--service" help:"default: every service that is sharded by key"`
	Logs    []string `arg:"--logs" placeholder:"FILE" help:"with --store: show too which owners leave or are full, by the logs of entry hosts"`
}

// ExplainCmd explains a key or a request.
type ExplainCmd struct {
	Subject string   `arg:"positional,required" placeholder:"KEY|REQUEST-ID"`
	Service string   `arg:"--service" help:"default: every service that is sharded by key"`
	Logs    []string `arg:"--logs" placeholder:"FILE" help:"explain a request from the logs of entry hosts on the platform, instead of asking a host"`
}

// MoveCmd moves a shard.
type MoveCmd struct {
	Writing
	Service string `arg:"positional,required"`
	To      string `arg:"--to,required" placeholder:"SERVER"`
	Shard   *int   `arg:"--shard"`
	Key     string `arg:"--key" help:"move the shard of this key"`
}

// PinCmd pins a key.
type PinCmd struct {
	Writing
	Service string `arg:"positional,required"`
	Key     string `arg:"positional,required"`
	To      string `arg:"--to,required" placeholder:"SERVER"`
}

// UnpinCmd unpins a key.
type UnpinCmd struct {
	Writing
	Service string `arg:"positional,required"`
	Key     string `arg:"positional,required"`
}

// DrainCmd drains or undrains a backend server.
type DrainCmd struct {
	Writing
	Service string `arg:"positional,required"`
	Server  string `arg:"positional,required"`
}

// MembersCmd holds the subcommands on members.
type MembersCmd struct {
	Forget *ForgetCmd `arg:"subcommand:forget" help:"remove members whose processes no longer run"`
}

// ForgetCmd removes members.
type ForgetCmd struct {
	Writing
	Members []string `arg:"positional,required" placeholder:"MEMBER" help:"full member ids, as printed by the hosts subcommand"`
	Stopped bool     `arg:"--stopped" help:"confirm that these processes have stopped permanently"`
}

// AuditCmd prints the audit trail.
type AuditCmd struct {
	Since   string `arg:"--since" help:"a duration such as 2h, or a time such as 2026-01-31T08:00:00Z"`
	Who     string `arg:"--who" help:"part of the author's name"`
	Subject string `arg:"--subject" help:"part of the subject"`
	ID      string `arg:"--id" help:"one record by its id"`
	Follow  bool   `arg:"--follow" help:"keep printing new records"`
}

// WatchCmd prints a table at an interval.
type WatchCmd struct {
	Every time.Duration `arg:"--every" default:"2s"`
	Times int           `arg:"--times" help:"stop after this many tables; 0 means never"`
}

// SchemaCmd prints the JSON Schema.
type SchemaCmd struct{}

// ShellCmd prints a completion script.
type ShellCmd struct {
	Shell string `arg:"positional,required" help:"bash, zsh or fish"`
}
