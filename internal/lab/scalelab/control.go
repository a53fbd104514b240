package scalelab

import (
	"context"
	"errors"
	"time"
)

// controls are the machines that keep the configuration.
type controls struct{}

var errNoControl = errors.New("scale: the part config is not in this build")

func startControls(*Run, func() time.Duration) (*controls, error) { return nil, errNoControl }

func (c *controls) close()                                    {}
func (c *controls) look() map[string]machineLook              { return map[string]machineLook{} }
func (c *controls) first(context.Context, *Run, *Size) error  { return errNoControl }
func (c *controls) change(context.Context, *Run, *Size) error { return errNoControl }
