package org.magnoliapick.pgm.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.Option;

/** Prints a completion script for bash. */
final class CompletionCommand implements Command {
    @Override
    public ExitCode run(Invocation invocation) {
        String shell = invocation.argument(0, "bash");
        if (!shell.equals("bash")) {
            throw PgmException.usage("unknownCommand", "completion " + shell);
        }
        List<String> words = new ArrayList<>();
        Arrays.stream(CommandEntry.values()).forEach(each -> words.addAll(each.words()));
        List<String> options =
                CtlOptions.all().getOptions().stream()
                        .map(Option::getLongOpt)
                        .map(name -> "--" + name)
                        .toList();
        String choices =
                words.stream().distinct().sorted().collect(Collectors.joining(" "))
                        + " "
                        + String.join(" ", options);
        invocation.print("_magnoliapickctl() {");
        invocation.print("    local word=\"${COMP_WORDS[COMP_CWORD]}\"");
        invocation.print("    COMPREPLY=($(compgen -W \"" + choices + "\" -- \"$word\"))");
        invocation.print("}");
        invocation.print("complete -o default -F _magnoliapickctl magnoliapickctl");
        return ExitCode.OK;
    }
}
