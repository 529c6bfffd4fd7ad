package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/admin"
	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/control/config"
)

type planCmd struct {
	List   planListCmd   `cmd:"" help:"List all plans."`
	Get    planGetCmd    `cmd:"" help:"Show one plan with its revision."`
	Put    planPutCmd    `cmd:"" help:"Add or replace a plan from a JSON file or standard input."`
	Delete planDeleteCmd `cmd:"" help:"Delete a plan and its limit."`
}

type limitCmd struct {
	List   limitListCmd   `cmd:"" help:"List the limits of all plans."`
	Get    limitGetCmd    `cmd:"" help:"Show the limit of one plan with its revision."`
	Put    limitPutCmd    `cmd:"" help:"Add or replace a limit from a JSON file or standard input."`
	Delete limitDeleteCmd `cmd:"" help:"Delete the limit of a plan."`
}

type planListCmd struct{}

// Run prints all plans.
func (planListCmd) Run(c *cli) error { return listEntries[config.Plan](c, "/v1/plans") }

type limitListCmd struct{}

// Run prints all limits.
func (limitListCmd) Run(c *cli) error { return listEntries[config.Limit](c, "/v1/limits") }

type planGetCmd struct {
	Name string `arg:"" help:"Name of the plan."`
}

// Run prints one plan.
func (g planGetCmd) Run(c *cli) error { return getEntry[config.Plan](c, "/v1/plans/"+g.Name) }

type limitGetCmd struct {
	Plan string `arg:"" help:"Name of the plan."`
}

// Run prints one limit.
func (g limitGetCmd) Run(c *cli) error { return getEntry[config.Limit](c, "/v1/limits/"+g.Plan) }

// editFlags are the flags of all commands that change an entry.
type editFlags struct {
	Revision uint64 `default:"0" help:"Revision at which the entry was read; 0 creates it."`
	EditID   string `name:"edit-id" help:"Id of the edit, to repeat one whose answer was lost."`
	waitFlags
}

func (f editFlags) header() http.Header {
	id := f.EditID
	if id == "" {
		id = uuid.NewString()
	}
	h := http.Header{}
	h.Set(admin.HeaderIfRevision, strconv.FormatUint(f.Revision, 10))
	h.Set(admin.HeaderEditID, id)
	return h
}

type planPutCmd struct {
	File string `arg:"" default:"-" help:"JSON file with the plan; - reads standard input."`
	editFlags
}

// Run writes one plan.
func (p planPutCmd) Run(c *cli) error {
	return putEntry(c, p.File, p.editFlags, func(v config.Plan) string { return "/v1/plans/" + v.Name })
}

type limitPutCmd struct {
	File string `arg:"" default:"-" help:"JSON file with the limit; - reads standard input."`
	editFlags
}

// Run writes one limit.
func (p limitPutCmd) Run(c *cli) error {
	return putEntry(c, p.File, p.editFlags, func(v config.Limit) string { return "/v1/limits/" + v.Plan })
}

type planDeleteCmd struct {
	Name string `arg:"" help:"Name of the plan."`
	editFlags
}

// Run deletes one plan.
func (d planDeleteCmd) Run(c *cli) error { return deleteEntry(c, "/v1/plans/"+d.Name, d.editFlags) }

type limitDeleteCmd struct {
	Plan string `arg:"" help:"Name of the plan."`
	editFlags
}

// Run deletes one limit.
func (d limitDeleteCmd) Run(c *cli) error { return deleteEntry(c, "/v1/limits/"+d.Plan, d.editFlags) }

func listEntries[T any](c *cli, path string) error {
	var entries map[string]config.Entry[T]
	if err := call(http.MethodGet, c.Instance, path, nil, nil, &entries); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(entries)
	}
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		fmt.Printf("%-24s revision %-6d %+v\n", name, entries[name].Revision, entries[name].Value)
	}
	return nil
}

func getEntry[T any](c *cli, path string) error {
	var entry config.Entry[T]
	if err := call(http.MethodGet, c.Instance, path, nil, nil, &entry); err != nil {
		return err
	}
	return printJSON(entry)
}

func putEntry[T any](c *cli, file string, f editFlags, pathOf func(T) string) error {
	raw, err := readInput(file)
	if err != nil {
		return err
	}
	var value T
	if err := json.Unmarshal(raw, &value); err != nil {
		return errors.Wrapf(err, "decode %s", file)
	}
	var accepted admin.EditResult
	header := f.header()
	if err := call(http.MethodPut, c.Instance, pathOf(value), header, value, &accepted); err != nil {
		return withEditID(err, header)
	}
	return finishEdit(c, f, accepted)
}

func deleteEntry(c *cli, path string, f editFlags) error {
	var accepted admin.EditResult
	header := f.header()
	if err := call(http.MethodDelete, c.Instance, path, header, nil, &accepted); err != nil {
		return withEditID(err, header)
	}
	return finishEdit(c, f, accepted)
}

// withEditID adds the id of the edit to an error after which the edit may have taken effect, so that it
// can be retried under the same id.
func withEditID(err error, header http.Header) error {
	var p *problem.Problem
	if errors.As(err, &p) && p.RunState == problem.MayHaveRun {
		p.Message += "; to find out, repeat it with --edit-id " + header.Get(admin.HeaderEditID)
	}
	return err
}

func finishEdit(c *cli, f editFlags, a admin.EditResult) error {
	if err := printAccepted(c, a); err != nil {
		return err
	}
	return f.wait(c, a.Revision)
}

func printAccepted(c *cli, a admin.EditResult) error {
	if c.JSON {
		return printJSON(a)
	}
	fmt.Printf("accepted as revision %d (edit %s)\n", a.Revision, a.Edit)
	return nil
}

func printJSON(v any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(v), "print")
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		raw, err := io.ReadAll(os.Stdin)
		return raw, errors.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(file)
	return raw, errors.Wrap(err, "read input")
}
