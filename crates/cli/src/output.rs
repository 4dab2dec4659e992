//! Output of commands as text or JSON.

use acacia_catalog::diff::{Change, Difference};
use acacia_operator::call::{Accepted, Checked, HistoryEntry, Ordered, Propagation, Trace};
use acacia_operator::status::{Instance, Status};
use bpaf::{Parser, long};
use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use serde::Serialize;
use strum::{Display, EnumString};

/// Output format.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Format {
    /// Text for people.
    #[default]
    Text,
    /// JSON for scripts.
    Json,
}

/// The `--format` option of every command.
pub fn format() -> impl Parser<Format> {
    long("format")
        .help("Output format: text or json")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text)
}

/// Output of a command.
pub trait Report: Serialize {
    /// Renders the output as text.
    fn text(&self) -> String;
}

/// Prints a report to standard output.
pub fn print(format: Format, report: &impl Report) {
    match format {
        Format::Text => println!("{}", report.text().trim_end()),
        Format::Json => match serde_json::to_string_pretty(report) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("can't encode the output as JSON: {error}"),
        },
    }
}

/// An empty table with a header.
pub fn table<const N: usize>(head: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(head);
    table
}

/// Renders differences as a table.
pub fn differences(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "no difference".to_owned();
    }
    let mut table = table(["", "kind", "name", "field", "before", "after"]);
    for Difference { kind, name, change } in differences {
        match change {
            Change::Added => table.add_row(["+", kind, name]),
            Change::Removed => table.add_row(["-", kind, name]),
            Change::Altered(fields) => {
                for f in fields {
                    let (before, after) = (f.before.to_string(), f.after.to_string());
                    table.add_row(["~", kind, name, &f.field, &before, &after]);
                }
                &mut table
            }
        };
    }
    table.to_string()
}

impl Report for Vec<Difference> {
    fn text(&self) -> String {
        differences(self)
    }
}

impl Report for Checked {
    fn text(&self) -> String {
        let Self { revision, objects, .. } = self;
        let differences = differences(&self.differences);
        format!("{objects} objects, no problem; against revision {revision}:\n{differences}")
    }
}

impl Report for Accepted {
    fn text(&self) -> String {
        let Self { id, revision, changed, propagation: Propagation { daemons, live } } = self;
        let what = if *changed { "accepted" } else { "nothing to change" };
        format!(
            "{what}: revision {revision}, in force on {daemons} of {live} daemons (change {id})"
        )
    }
}

impl Report for Ordered {
    fn text(&self) -> String {
        format!("{} (order {})", self.outcome, self.id)
    }
}

impl Report for Vec<HistoryEntry> {
    fn text(&self) -> String {
        let mut table = table(["revision", "author", "change"]);
        for HistoryEntry { revision, change, author } in self {
            table.add_row([&revision.to_string(), author.as_str(), change]);
        }
        table.to_string()
    }
}

impl Report for Trace {
    fn text(&self) -> String {
        let mut table = table(["start µs", "took µs", "hop", "fields"]);
        for span in &self.spans {
            let fields: Vec<String> =
                span.fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
            let (start, took) = (span.start_us.to_string(), span.duration_us.to_string());
            table.add_row([start, took, span.name.clone(), fields.join(" ")]);
        }
        format!("trace {}\n{table}", self.id)
    }
}

impl Report for Status {
    fn text(&self) -> String {
        let mut text = format!(
            "daemon {}: {}, revision {}, epoch {}\n",
            self.daemon.as_deref().unwrap_or("-"),
            if self.ready { "ready" } else { "not ready" },
            self.revision,
            self.epoch,
        );
        if !self.zones_out.is_empty() {
            text += &format!("availability zones out: {}\n", self.zones_out.join(", "));
        }
        let mut daemons = table(["daemon", "zone", "revision", "owned"]);
        for d in &self.daemons {
            daemons.add_row([&*d.name, &*d.zone, &optional(&d.revision), &optional(&d.owned)]);
        }
        let calls: Vec<String> = self.kv_calls.iter().map(|(k, n)| format!("{k} {n}")).collect();
        let upstreams = instances("upstream", &self.upstreams);
        let stores = instances("store", &self.stores);
        text += &format!("{daemons}\n{upstreams}\n{stores}\n");
        text += &format!("key-value service calls: {}\n", calls.join(", "));
        text + &format!("operators' calls refused: {}\n", self.refused)
    }
}

fn instances(kind: &str, list: &[Instance]) -> Table {
    let mut table = table([kind, "zone", "state", "life", "running", "waiting", "slots", "owner"]);
    for i in list {
        table.add_row([
            &*i.name,
            &*i.zone,
            &i.warmth.to_string(),
            &i.incarnation.to_string(),
            &optional(&i.running),
            &optional(&i.waiting),
            &optional(&i.slots),
            i.owner.as_deref().unwrap_or("-"),
        ]);
    }
    table
}

fn optional(value: &Option<impl ToString>) -> String {
    value.as_ref().map_or_else(|| "-".to_owned(), ToString::to_string)
}
