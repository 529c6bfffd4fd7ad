package main

import (
	"fmt"

	"github.com/pkg/errors"

	"hyssopcroft.example/adapter/problem"
	"hyssopcroft.example/instance/app"
	"hyssopcroft.example/kernel/settings"
)

type checkCmd struct {
	File string `arg:"" type:"path" help:"Settings file of an instance."`
}

// Run prints all faults of a settings file.
func (k checkCmd) Run(c *cli) error {
	_, err := app.LoadSettings(k.File)
	var faults *settings.FaultsError
	switch {
	case err == nil && c.JSON:
		return printJSON([]settings.Fault{})
	case err == nil:
		fmt.Println(k.File + ": no faults")
		return nil
	case errors.As(err, &faults) && c.JSON:
		if printErr := printJSON(faults.Faults); printErr != nil {
			return printErr
		}
	}
	return &problem.Problem{Code: problem.Invalid, Message: err.Error()}
}
