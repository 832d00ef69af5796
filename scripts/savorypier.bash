# Completion of savorypier for bash; tests/test-man.c compares it with the
# tool's table of commands.

_savorypier()
{
	local cur=${COMP_WORDS[COMP_CWORD]} global words cmd= i
	global="--log --control --peer-key-file --json --help --version"
	for ((i = 1; i < COMP_CWORD; i++)); do
		case ${COMP_WORDS[i]} in
		--log|--control|--peer-key-file) i=$((i + 1)) ;;
		-*) ;;
		*) cmd=${COMP_WORDS[i]}; break ;;
		esac
	done
	case $cmd in
	'') words="check diff drain dump entry explain history publish send show status top" ;;
	check) words="" ;;
	diff) words="" ;;
	drain) words="" ;;
	dump) words="" ;;
	entry) words="--domain" ;;
	explain) words="" ;;
	history) words="" ;;
	publish) words="--base --id --by --timeout-ms" ;;
	send) words="--to --domain --key --service --class --model --max-tokens --deadline-ms --not-repeatable --idempotency-key --path" ;;
	show) words="" ;;
	status) words="" ;;
	top) words="--every-ms --count" ;;
	esac
	COMPREPLY=($(compgen -W "$words $global" -- "$cur"))
}

complete -o default -F _savorypier savorypier
