package main

import (
	"testing"

	"github.com/alexflint/go-arg"
	"github.com/stretchr/testify/require"
)

func TestTryTakesTheFlagsOfTheWholeCommandLine(t *testing.T) {
	for _, line := range [][]string{{"try", "--json", "--hosts", "5"}, {"--json", "try", "--hosts", "5"}} {
		var args arguments
		parser, err := arg.NewParser(arg.Config{}, &args)
		require.NoError(t, err)
		require.NoError(t, parser.Parse(line))
		require.True(t, args.JSON, "%v", line)
		require.Equal(t, 5, args.Try.Hosts)
	}
}
