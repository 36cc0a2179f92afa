//! Prompt parts that crash replicas.

use tanagershift::voter::command::{Effect, Lift, Order};

use crate::{
    arguments,
    commands::{ASK_TIMEOUT, Error, Group, rows, user},
    table,
};

impl Group {
    /// Shows the prompt parts that are suspected or convicted, or lifts one.
    ///
    /// # Errors
    ///
    /// No leader answered, or the part is not in quarantine.
    pub(crate) async fn quarantine(&self, quarantine: arguments::Quarantine) -> Result<(), Error> {
        let Some(part) = quarantine.lift else {
            return self.show_quarantine().await;
        };
        let order = Order::Lift(Lift {
            part,
            operator: quarantine.operator.unwrap_or_else(user),
        });
        match self.propose(order, ASK_TIMEOUT).await? {
            Effect::Done(reason) if !reason.is_empty() => Err(Error::Refused { reason }),
            _ => {
                println!("prompt part {part:x} is lifted");
                Ok(())
            }
        }
    }

    async fn show_quarantine(&self) -> Result<(), Error> {
        let list = self.query("quarantine", 0, 0).await?;
        if self.json {
            println!("{list}");
            return Ok(());
        }
        let keys = ["part", "convicted", "crashes", "services"];
        table::print(&keys, &rows(&list, &keys));
        Ok(())
    }
}
