package cli

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/lacewingsaddle/lacewingsaddle/fault"
)

const programName = "lacewingsaddle"

// completionRule is a subcommand and the words that may follow it.
type completionRule struct {
	name string
	next []string
}

// completionRules derives the completions from the struct tags of Arguments.
func completionRules() []completionRule {
	top, options := argFields(reflect.TypeFor[Arguments]())
	out := []completionRule{{name: "", next: append(subcommandNames(top), append(options, "try")...)}}
	for _, sub := range top {
		nested, own := argFields(sub.Type.Elem())
		out = append(out, completionRule{name: subcommandName(sub), next: append(subcommandNames(nested), append(own, options...)...)})
		for _, n := range nested {
			_, deep := argFields(n.Type.Elem())
			out = append(out, completionRule{name: subcommandName(sub) + " " + subcommandName(n), next: append(deep, options...)})
		}
	}
	return out
}

// argFields returns the subcommands and the options of an argument type.
func argFields(t reflect.Type) (subs []reflect.StructField, options []string) {
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			_, more := argFields(f.Type)
			options = append(options, more...)
			continue
		}
		tag := f.Tag.Get("arg")
		if strings.HasPrefix(tag, "subcommand:") {
			subs = append(subs, f)
		} else if strings.HasPrefix(tag, "--") {
			option, _, _ := strings.Cut(tag, ",")
			options = append(options, option)
		}
	}
	return subs, options
}

func subcommandName(f reflect.StructField) string {
	return strings.TrimPrefix(f.Tag.Get("arg"), "subcommand:")
}

func subcommandNames(fields []reflect.StructField) []string {
	var out []string
	for _, f := range fields {
		out = append(out, subcommandName(f))
	}
	return out
}

func (s *session) completion(context.Context) error {
	scripts := map[string]func([]completionRule) string{"bash": bash, "zsh": zsh, "fish": fish}
	script, ok := scripts[s.args.Shell.Shell]
	if !ok {
		return fault.Newf(fault.BadRequest, "unsupported shell %q; supported are bash, zsh and fish", s.args.Shell.Shell)
	}
	_, err := fmt.Fprint(s.env.Stdout, script(completionRules()))
	return err
}

// bash selects the words by the subcommands typed so far, longest match first.
func bash(list []completionRule) string {
	var b strings.Builder
	b.WriteString("# " + programName + " completion for bash\n_" + programName + "() {\n")
	b.WriteString("  local line=\"\" w\n  for w in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n")
	b.WriteString("    [[ $w == -* ]] && continue\n    line=\"${line:+$line }$w\"\n  done\n")
	b.WriteString("  local next\n  case \"$line\" in\n")
	longest := slices.Clone(list)
	slices.SortStableFunc(longest, func(a, b completionRule) int { return len(b.name) - len(a.name) })
	for _, rule := range longest {
		pattern := fmt.Sprintf("%q|%q*", rule.name, rule.name+" ")
		if rule.name == "" {
			pattern = "*"
		}
		fmt.Fprintf(&b, "    %s) next=%q ;;\n", pattern, strings.Join(rule.next, " "))
	}
	b.WriteString("  esac\n  COMPREPLY=($(compgen -W \"$next\" -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	b.WriteString("complete -F _" + programName + " " + programName + "\n")
	return b.String()
}

// zsh reuses the bash function through bashcompinit.
func zsh(list []completionRule) string {
	return "#compdef " + programName + "\nautoload -U +X bashcompinit && bashcompinit\n" + bash(list)
}

func fish(list []completionRule) string {
	var b strings.Builder
	for _, rule := range list {
		condition := "__fish_use_subcommand"
		if rule.name != "" {
			condition = "__fish_seen_subcommand_from " + strings.ReplaceAll(rule.name, " ", "; and __fish_seen_subcommand_from ")
		}
		for _, next := range rule.next {
			option := "-a " + next
			if strings.HasPrefix(next, "--") {
				option = "-l " + strings.TrimPrefix(next, "--")
			}
			fmt.Fprintf(&b, "complete -c %s -n '%s' %s\n", programName, condition, option)
		}
	}
	return b.String()
}
